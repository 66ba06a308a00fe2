// Keys that identify one start of a server, in the records of this host and in messages between hosts.
import type { RegisteredServer } from '@siskinbeam/server-registry/serverRegistry'

const separator = '@'
/** IDs are keys of rows, which have at most 200 bytes. */
const pattern = /^[^]{1,200}@(0|[1-9]\d{0,15})$/u

/** Returns the key of the start of a server that is registered. */
export function formatStartKey ({ id, boot }: RegisteredServer): string {
  return `${id}${separator}${boot}`
}

/** Whether a value of another host is a key: an ID, and a birth that can be. */
export function isStartKey (value: unknown): value is string {
  return typeof value === 'string' && pattern.test(value) && Number.isSafeInteger(readBoot(value))
}

export function readId (key: string): string {
  return key.slice(0, key.lastIndexOf(separator))
}

export function readBoot (key: string): number {
  return Number(key.slice(key.lastIndexOf(separator) + 1))
}
