// Calls back once a guest needs nothing more for a request. Node.js does not close the response to a request behind an unanswered one if
// their connection ends, so the connection is watched, with one listener for all of its requests.
import type { Socket } from 'node:net'
import type { GuestExchange } from './guestExchange.js'

const callbacksOf = new WeakMap<Socket, Set<() => void>>()

/** Calls back once the response has been passed on completely or its connection has ended, at once if that is so already. */
export function onGuestDone ({ request: { socket }, response }: Pick<GuestExchange, 'request' | 'response'>, callback: () => void): void {
  if (response.destroyed || socket.destroyed) {
    callback()
    return
  }
  const callbacks = callbacksOf.get(socket) ?? watchSocket(socket)
  callbacks.add(callback)
  response.once('close', () => { if (callbacks.delete(callback)) callback() })
}

function watchSocket (socket: Socket): Set<() => void> {
  const callbacks = new Set<() => void>()
  callbacksOf.set(socket, callbacks)
  socket.once('close', () => {
    callbacks.forEach(callback => callback())
    callbacks.clear()
  })
  return callbacks
}
