// Distinguishes a connection that the peer closed from one that was reset. libuv reports a reset that arrives
// together with the last bytes as the end of the stream, but a write after a reset fails. The test write is an
// empty line, which a server ignores before a request.
import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'

const closedWithoutReset = new WeakMap<Socket, Promise<boolean>>()
const watchedSockets = new WeakSet<Socket>()

/** Watches a connection to a server. Must be called before the response ends. */
export function watchStreamEnd (socket: Socket): void {
  if (watchedSockets.has(socket)) return
  watchedSockets.add(socket)
  // Prepended, so that it runs before the stream closes its own side, after which writes are not possible.
  socket.prependListener('end', () => {
    closedWithoutReset.set(socket, new Promise(resolve => { socket.write('\r\n', error => resolve(error === null || error === undefined)) }))
  })
  // Node.js completes a response without a length also when its socket fails.
  socket.prependListener('error', () => { closedWithoutReset.set(socket, Promise.resolve(false)) })
}

/**
 * Whether a response that Node.js reports as complete is complete: it states its length or is chunked, or the
 * server closed the connection without a reset.
 */
export async function isCompleteResponse (response: IncomingMessage, socket: Socket): Promise<boolean> {
  if (!response.complete) return false
  if (response.headers['content-length'] !== undefined || response.headers['transfer-encoding'] !== undefined) return true
  return closedWithoutReset.get(socket) ?? true
}
