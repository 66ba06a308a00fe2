// Binds a listener to an IP number and port.
import type { AddressInfo, Server } from 'node:net'
import { splitAddress } from '@siskinbeam/settings/splitAddress'

/** Binds the listener and gives the address that it got. Port 0 lets the system choose one. */
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
