// Resets a connection.
import type { Socket } from 'node:net'

/** Node.js 20 never closes the handle of a socket that is reset after its end was written, which keeps the process from exiting. */
export function resetSocket (socket: Socket): void {
  if (socket.writableEnded) socket.destroy()
  else socket.resetAndDestroy()
}
