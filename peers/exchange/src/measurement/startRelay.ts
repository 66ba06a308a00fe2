// A relay that counts the bytes of the connections through it.
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'

/** A running relay; `sent` counts the bytes toward the target. */
export interface Relay {
  address: string
  sent: () => number
  received: () => number
  connections: () => number
  close: () => void
}

/** Forwards connections on a free port of loopback to an address. */
export async function startRelay (target: string): Promise<Relay> {
  const counts = { sent: 0, received: 0, connections: 0 }
  const sockets = new Set<Socket>()
  const [host, port] = target.split(':')
  const server = createServer(near => {
    const far = connect(Number(port), host ?? '')
    counts.connections += 1
    near.on('data', bytes => { counts.sent += bytes.length })
    far.on('data', bytes => { counts.received += bytes.length })
    near.pipe(far).pipe(near)
    ;[near, far].forEach(socket => {
      sockets.add(socket)
      socket.on('error', () => { near.destroy(); far.destroy() })
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
