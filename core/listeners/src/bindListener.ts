// Binds a listener to an IPv4 address and port.
import type { AddressInfo, Server } from 'node:net'
import { splitAddress } from '@siskinbeam/settings/splitAddress'

/** Binds the listener and resolves with its address, or rejects if that is not available. Port 0 lets the system assign a port. */
export async function bindListener (server: Server, address: string): Promise<string> {
  const { host, port } = splitAddress(address)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => {
      server.off('error', reject)
      resolve()
    })
  })
  const bound = server.address() as AddressInfo
  return `${bound.address}:${bound.port}`
}
