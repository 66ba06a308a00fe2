// Tells a connection that its peer ended from one that was reset. libuv reports a reset that arrives together
// with the last bytes as the end of the stream, but a write after a reset fails. What is written is an
// empty line, which a server ignores before a request.
import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'

const ends = new WeakMap<Socket, Promise<boolean>>()
const watched = new WeakSet<Socket>()

/** Watches a connection to a server. Must be called before the answer ends. */
export function watchStreamEnd (socket: Socket): void {
  if (watched.has(socket)) return
  watched.add(socket)
  // Runs before the stream closes its own side, after which nothing can be written any more.
  socket.prependListener('end', () => {
    ends.set(socket, new Promise(resolve => { socket.write('\r\n', error => resolve(error === null || error === undefined)) }))
  })
}

/**
 * Whether an answer that Node calls complete is so: it says itself where it ends, or the server ended its
 * connection in good order.
 */
export async function isWholeAnswer (answer: IncomingMessage, socket: Socket): Promise<boolean> {
  if (!answer.complete) return false
  if (answer.headers['content-length'] !== undefined || answer.headers['transfer-encoding'] !== undefined) return true
  return ends.get(socket) ?? true
}
