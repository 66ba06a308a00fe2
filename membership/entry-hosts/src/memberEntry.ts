// What hosts tell each other about an entry host. An entry is ordered first by boot id, then by
// counter: only the host itself raises its counter, so of two entries the greater is the later one.
// Boot ids begin with the time of the start, which keeps entries of an earlier boot, still passed on
// by other hosts, from replacing those of the present one.

/** One entry host as reported in a heartbeat. */
export interface MemberEntry {
  host: string
  /** 16 hexadecimal digits; a later boot has a greater id. */
  bootId: string
  counter: number
  dataCentre: string
  guestAddress: string
  peerAddress: string
  leaving: boolean
  bundleVersion: number
  /** Whether the host that reports the entry suspects it. */
  suspected: boolean
  /** For how long, so that all hosts leave it out of addresses at the same time; 0 if not suspected. */
  suspectedMilliseconds: number
}

/** The membership part of an exchange. The sender's own entry is not among the members. */
export interface Heartbeat {
  sender: MemberEntry
  members: MemberEntry[]
  /** Set by a host that is still learning the members: it asks for those from this ring key on. */
  membersFrom?: number
}

/** Members in one heartbeat, the sender's own entry included. */
export const maximumEntriesPerHeartbeat = 8

const timeDigits = 11
const randomDigits = 5
const randomLimit = 16 ** randomDigits

export interface CreateBootIdOptions {
  epochMilliseconds: number
  random: () => number
  /** An id that the new one must be greater than, for a host whose clock is behind its earlier boot. */
  after?: string
}

/** Makes a boot id: 11 hexadecimal digits of time in milliseconds, then 5 random ones. */
export function createBootId ({ epochMilliseconds, random, after }: CreateBootIdOptions): string {
  const earliest = after === undefined ? 0 : Number.parseInt(after.slice(0, timeDigits), 16) + 1
  const time = Math.max(Math.floor(epochMilliseconds), earliest).toString(16).padStart(timeDigits, '0')
  return time + Math.floor(random() * randomLimit).toString(16).padStart(randomDigits, '0')
}

/** Compares two entries of one host: positive if the first is the later one. */
export function compareEntries (first: Pick<MemberEntry, 'bootId' | 'counter'>, second: Pick<MemberEntry, 'bootId' | 'counter'>): number {
  if (first.bootId !== second.bootId) return first.bootId > second.bootId ? 1 : -1
  return first.counter - second.counter
}
