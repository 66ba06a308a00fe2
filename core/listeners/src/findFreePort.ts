// Finds free ports for processes whose addresses must be configured before they are bound.
import { createServer } from 'node:net'

/** Below the ephemeral port range: an outgoing connection could take an ephemeral port before it is bound. */
const firstPort = 10_000
const portCount = 20_000
/** Distance between the first ports of processes with consecutive IDs, so that concurrent processes use different ports. */
const processPortDistance = 997

let portOffset = process.pid * processPortDistance % portCount

/** Resolves with a loopback port on which nothing listens, a different one on each call. */
export async function findFreePort (): Promise<number> {
  portOffset = (portOffset + 1) % portCount
  const port = firstPort + portOffset
  return await isPortFree(port) ? port : findFreePort()
}

function isPortFree (port: number): Promise<boolean> {
  return new Promise(resolve => {
    const probe = createServer()
    probe.once('error', () => resolve(false))
    probe.listen(port, '127.0.0.1', () => probe.close(() => resolve(true)))
  })
}
