// Finds ports for processes that are told their addresses before they bind them.
import { createServer } from 'node:net'

/** Below the range from which systems take the ports of outgoing connections, which could take a port between its choice and its use. */
const firstPort = 10_000
const portCount = 20_000
/** Processes that run side by side begin this far apart. */
const processDistance = 997

let offset = process.pid * processDistance % portCount

/** Gives a port of loopback that nothing listens on, a different one at each call. */
export async function findFreePort (): Promise<number> {
  offset = (offset + 1) % portCount
  const port = firstPort + offset
  return await isFree(port) ? port : findFreePort()
}

function isFree (port: number): Promise<boolean> {
  return new Promise(resolve => {
    const probe = createServer()
    probe.once('error', () => resolve(false))
    probe.listen(port, '127.0.0.1', () => probe.close(() => resolve(true)))
  })
}
