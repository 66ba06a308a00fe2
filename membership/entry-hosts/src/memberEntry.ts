// The information about an entry host that hosts exchange. Entries of one host are ordered first by boot ID,
// then by counter: only the host itself increments its counter, so the greater of two entries is the later
// one. Boot IDs begin with the start time, so that entries of an earlier boot, which other hosts may still
// disseminate, never replace entries of the current boot.

/** One entry host as reported in a heartbeat. */
export interface MemberEntry {
  host: string
  /** 16 hexadecimal digits; a later boot has a greater ID. */
  bootId: string
  counter: number
  dataCentre: string
  guestAddress: string
  peerAddress: string
  leaving: boolean
  bundleVersion: number
  /** Whether the host that reports the entry suspects it. */
  suspected: boolean
  /** Age of the suspicion in milliseconds, so that all hosts exclude the host from addresses at the same time; 0 if not suspected. */
  suspectedMilliseconds: number
}

/** The membership part of an exchange. `members` does not contain the sender's own entry. */
export interface Heartbeat {
  sender: MemberEntry
  members: MemberEntry[]
  /** Set by a host that is still synchronizing its members: it requests the members from this ring key on. */
  membersFrom?: number
}

/** Maximum number of entries in one heartbeat, including the sender's own entry. */
export const maximumEntriesPerHeartbeat = 8

const timeDigits = 11
const randomDigits = 5
const randomLimit = 16 ** randomDigits

export interface CreateBootIdOptions {
  epochMilliseconds: number
  random: () => number
  /** The new ID is greater than this one. For a host whose clock is behind the start time of its earlier boot. */
  after?: string
}

/** Creates a boot ID: 11 hexadecimal digits of the epoch time in milliseconds, then 5 random ones. */
export function createBootId ({ epochMilliseconds, random, after }: CreateBootIdOptions): string {
  const earliest = after === undefined ? 0 : Number.parseInt(after.slice(0, timeDigits), 16) + 1
  const time = Math.max(Math.floor(epochMilliseconds), earliest).toString(16).padStart(timeDigits, '0')
  return time + Math.floor(random() * randomLimit).toString(16).padStart(randomDigits, '0')
}

/** Compares two entries of the same host. The result is positive if the first entry is later. */
export function compareEntries (first: Pick<MemberEntry, 'bootId' | 'counter'>, second: Pick<MemberEntry, 'bootId' | 'counter'>): number {
  if (first.bootId !== second.bootId) return first.bootId > second.bootId ? 1 : -1
  return first.counter - second.counter
}
