// TCP proxy that counts connections and the bytes in each direction.
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'

/** A running proxy. `sent` is the number of bytes to the target, `received` those from it. */
export interface CountingProxy {
  address: string
  sent: () => number
  received: () => number
  connections: () => number
  close: () => void
}

/** Starts a proxy on a free port of the loopback address that forwards connections to the target. */
export async function startCountingProxy (target: string): Promise<CountingProxy> {
  const counts = { sent: 0, received: 0, connections: 0 }
  const sockets = new Set<Socket>()
  const [host, port] = target.split(':')
  const server = createServer(clientSocket => {
    const targetSocket = connect(Number(port), host ?? '')
    counts.connections += 1
    clientSocket.on('data', bytes => { counts.sent += bytes.length })
    targetSocket.on('data', bytes => { counts.received += bytes.length })
    clientSocket.pipe(targetSocket).pipe(clientSocket)
    ;[clientSocket, targetSocket].forEach(socket => {
      sockets.add(socket)
      socket.on('error', () => { clientSocket.destroy(); targetSocket.destroy() })
      socket.on('close', () => { sockets.delete(socket) })
    })
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    sent: () => counts.sent,
    received: () => counts.received,
    connections: () => counts.connections,
    close: () => {
      server.close()
      sockets.forEach(socket => { socket.destroy() })
    }
  }
}
