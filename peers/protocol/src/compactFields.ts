// Fixed-length binary encodings of addresses and hexadecimal IDs. Decoding throws a RangeError whose message is
// the name of the invalid field; callers convert it to a coded error.
import { createHash } from 'node:crypto'

const ipBytes = 4
const portBytes = 2
const serverIdBytes = 8
const addressPattern = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/

/** Encodes `ip:port` as 4 bytes of IPv4 address and 2 bytes of port. Throws a RangeError for any other format. */
export function packAddress (address: string): Uint8Array {
  const numbers = addressPattern.exec(address)?.slice(1).map(Number) ?? []
  const port = numbers[ipBytes] ?? -1
  const ip = numbers.slice(0, ipBytes)
  if (ip.length !== ipBytes || ip.some(part => part > 255) || port < 1 || port > 65_535) throw new RangeError(`address ${address}`)
  return Uint8Array.from([...ip, port >> 8, port & 255])
}

/** Decodes an address. Two bytes are a port only; the IP address is then that of `defaultIpFrom`. */
export function unpackAddress (field: string, bytes: Uint8Array, defaultIpFrom?: string): string {
  const port = ((bytes.at(-2) ?? 0) << 8) | (bytes.at(-1) ?? 0)
  const isFullAddress = bytes.length === ipBytes + portBytes
  const isPortOnly = bytes.length === portBytes && defaultIpFrom !== undefined
  if (port === 0 || (!isFullAddress && !isPortOnly)) throw new RangeError(field)
  return `${isFullAddress ? bytes.subarray(0, ipBytes).join('.') : defaultIpFrom?.split(':')[0] ?? ''}:${port}`
}

/** Encodes hexadecimal digits as bytes. */
export function packBytes (hexadecimal: string): Uint8Array {
  return Buffer.from(hexadecimal, 'hex')
}

/** Decodes bytes to hexadecimal digits. Throws a RangeError if there are not exactly `length` bytes. */
export function unpackBytes (field: string, bytes: Uint8Array, length: number): string {
  if (bytes.length !== length) throw new RangeError(field)
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('hex')
}

/** Decodes a 64-bit count. Throws a RangeError if it is not a safe integer. */
export function unpackCount (field: string, value: bigint): number {
  if (value > BigInt(Number.MAX_SAFE_INTEGER)) throw new RangeError(field)
  return Number(value)
}

/** Computes the ID of a server in load reports: the first 16 hexadecimal digits of the SHA-256 of both names. */
export function computeServerId (service: string, server: string): string {
  return createHash('sha256').update(`${service}\0${server}`).digest('hex').slice(0, 2 * serverIdBytes)
}
