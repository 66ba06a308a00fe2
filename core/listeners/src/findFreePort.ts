// Finds free ports for processes whose addresses must be configured before they are bound. A process reserves ports in
// blocks and holds a block by listening on its first port, so that the operating system frees it however the process ends.
import { createServer, type Server } from 'node:net'

/** Below the ephemeral port range: an outgoing connection could take an ephemeral port before it is bound. */
const firstPort = 10_000
const blockCount = 200
const portsPerBlock = 100

let lastBlock = process.pid % blockCount
let nextPort = 0
let remainingPorts = 0
let queue: Promise<unknown> = Promise.resolve()

/** Resolves with a loopback port on which nothing listens, a different one on each call in any process of the machine. */
export function findFreePort (): Promise<number> {
  const port = queue.then(takePort)
  queue = port.catch(() => {})
  return port
}

async function takePort (): Promise<number> {
  if (remainingPorts === 0) await reserveBlock(blockCount)
  const port = nextPort
  nextPort += 1
  remainingPorts -= 1
  const probe = await listen(port)
  if (probe === undefined) return takePort()
  await new Promise(resolve => probe.close(resolve))
  return port
}

async function reserveBlock (attempts: number): Promise<void> {
  if (attempts === 0) throw new Error(`all ${blockCount} blocks of ports from ${firstPort} are reserved`)
  lastBlock = (lastBlock + 1) % blockCount
  const reservedPort = firstPort + lastBlock * portsPerBlock
  const reservation = await listen(reservedPort)
  if (reservation === undefined) return reserveBlock(attempts - 1)
  reservation.unref()
  nextPort = reservedPort + 1
  remainingPorts = portsPerBlock - 1
}

/** Resolves with a listener on the port, or with undefined if the port is in use. */
function listen (port: number): Promise<Server | undefined> {
  return new Promise(resolve => {
    const server = createServer(socket => socket.destroy())
    server.once('error', () => resolve(undefined))
    server.listen(port, '127.0.0.1', () => resolve(server))
  })
}
