// Fixed-length binary forms of addresses and hexadecimal ids. A field that does not have its form is
// reported as a RangeError with the field's name; callers turn it into a coded error.
import { createHash } from 'node:crypto'

const ipBytes = 4
const portBytes = 2
const serverIdBytes = 8
const addressPattern = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/

/** Packs `ip:port` into 4 bytes of IP number and 2 of port. Throws RangeError on other forms. */
export function packAddress (address: string): Uint8Array {
  const numbers = addressPattern.exec(address)?.slice(1).map(Number) ?? []
  const port = numbers[ipBytes] ?? -1
  const ip = numbers.slice(0, ipBytes)
  if (ip.length !== ipBytes || ip.some(part => part > 255) || port < 1 || port > 65_535) throw new RangeError(`address ${address}`)
  return Uint8Array.from([...ip, port >> 8, port & 255])
}

/** Unpacks an address. Two bytes are a port, which is joined to the IP number of `sameIpAs`. */
export function unpackAddress (field: string, bytes: Uint8Array, sameIpAs?: string): string {
  const port = ((bytes.at(-2) ?? 0) << 8) | (bytes.at(-1) ?? 0)
  const wholeAddress = bytes.length === ipBytes + portBytes
  const portOnly = bytes.length === portBytes && sameIpAs !== undefined
  if (port === 0 || (!wholeAddress && !portOnly)) throw new RangeError(field)
  return `${wholeAddress ? bytes.subarray(0, ipBytes).join('.') : sameIpAs?.split(':')[0] ?? ''}:${port}`
}

/** Packs hexadecimal digits. */
export function packBytes (hexadecimal: string): Uint8Array {
  return Buffer.from(hexadecimal, 'hex')
}

/** Unpacks bytes of the length given into hexadecimal digits. */
export function unpackBytes (field: string, bytes: Uint8Array, length: number): string {
  if (bytes.length !== length) throw new RangeError(field)
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('hex')
}

/** Unpacks a 64-bit count that must be a safe integer. */
export function unpackCount (field: string, value: bigint): number {
  if (value > BigInt(Number.MAX_SAFE_INTEGER)) throw new RangeError(field)
  return Number(value)
}

/** Names a server in load reports: the first 16 hexadecimal digits of a digest of both names. */
export function computeServerId (service: string, server: string): string {
  return createHash('sha256').update(`${service}\0${server}`).digest('hex').slice(0, 2 * serverIdBytes)
}
