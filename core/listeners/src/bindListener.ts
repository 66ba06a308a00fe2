// Binds a listener to an IPv4 address and port.
import type { AddressInfo, Server } from 'node:net'
import { splitAddress } from '@siskinbeam/settings/splitAddress'

/**
 * Binds the listener and resolves with its address, or rejects if that is not available; the listener can then be bound again.
 * Port 0 lets the system assign a port.
 */
export async function bindListener (server: Server, address: string): Promise<string> {
  const { host, port } = splitAddress(address)
  await new Promise<void>((resolve, reject) => {
    const handleError = (error: Error): void => {
      server.off('listening', handleListening)
      reject(error)
    }
    const handleListening = (): void => {
      server.off('error', handleError)
      resolve()
    }
    server.once('error', handleError)
    server.once('listening', handleListening)
    server.listen(port, host)
  })
  const bound = server.address() as AddressInfo
  return `${bound.address}:${bound.port}`
}
