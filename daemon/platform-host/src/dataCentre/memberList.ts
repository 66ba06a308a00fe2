// The live entry hosts of this data centre, as far as this host knows. The list has a revision number, so that
// followers are sent only the changes since the revision they have.
import { digestText } from '@siskinbeam/random/hashText'
import type { Member, MembersUpdate } from './peerMessages.js'

export interface MemberList {
  /** Adds or renews a host that has just called. */
  recordCall: (member: Member) => void
  /** Applies an update from the source of this host. */
  applyUpdate: (update: MembersUpdate) => void
  /** Renews all members, after the source has reported no changes. */
  renewAll: () => void
  /** Removes a host whose call was cut off, until it calls again. */
  remove: (name: string) => void
  list: () => Member[]
  /** Revision of the latest change. */
  revision: () => number
  digest: () => string
  /** Returns the changes since a revision, or the whole list if the revision is 0, unknown or too old. */
  readUpdate: (since: number) => MembersUpdate
}

interface MemberRecord {
  member: Member
  /** When the host last called or was last renewed, in milliseconds of the monotonic clock. */
  lastSeenAt: number
  revision: number
}

/** A member expires after this time without a call; followers call at least twice within it. */
const memberTimeoutMilliseconds = 1_300
const maximumRemovals = 500
/** Minimum interval between checks for expired members. A check scans the whole list, and each pending call reads the revision. */
const expiryCheckMilliseconds = 100

/** Creates the list. `own` returns the current entry of this host. */
export function createMemberList (own: () => Member, now: () => number): MemberList {
  const records = new Map<string, MemberRecord>()
  const removals: Array<{ name: string, revision: number }> = []
  let revision = 0
  let oldestRevision = 0
  let digest = { revision: -1, text: '' }
  let checkedAt = -Infinity

  const upsert = (member: Member): void => {
    const existing = records.get(member.name)
    if (existing !== undefined && isSame(existing.member, member)) {
      existing.lastSeenAt = now()
      return
    }
    revision += 1
    records.set(member.name, { member, lastSeenAt: now(), revision })
  }
  const remove = (name: string): void => {
    if (!records.delete(name)) return
    revision += 1
    removals.push({ name, revision })
    const discarded = removals.splice(0, Math.max(0, removals.length - maximumRemovals))
    oldestRevision = discarded.at(-1)?.revision ?? oldestRevision
  }
  const refresh = (): void => {
    upsert(own())
    if (now() - checkedAt < expiryCheckMilliseconds) return
    checkedAt = now()
    ;[...records.values()].filter(({ lastSeenAt }) => now() - lastSeenAt >= memberTimeoutMilliseconds).forEach(({ member }) => remove(member.name))
  }
  const recordCall = (member: Member): void => {
    const { name, dataCentre } = own()
    if (member.name !== name && member.dataCentre === dataCentre) upsert(member)
  }
  const list = (): Member[] => {
    refresh()
    return [...records.values()].map(({ member }) => member)
  }
  const readRevision = (): number => {
    refresh()
    return revision
  }
  return {
    recordCall,
    applyUpdate: ({ whole, members, gone }) => {
      const named = new Set(members.map(({ name }) => name))
      const missing = whole ? [...records.keys()].filter(name => !named.has(name)) : gone
      missing.filter(name => name !== own().name).forEach(remove)
      members.forEach(recordCall)
      records.forEach(entry => { entry.lastSeenAt = now() })
    },
    renewAll: () => records.forEach(entry => { entry.lastSeenAt = now() }),
    remove,
    list,
    revision: readRevision,
    digest: () => {
      const currentRevision = readRevision()
      if (digest.revision !== currentRevision) digest = { revision: currentRevision, text: digestMembers([...records.values()].map(({ member }) => member)) }
      return digest.text
    },
    readUpdate: since => {
      const currentRevision = readRevision()
      const whole = since <= 0 || since < oldestRevision || since > currentRevision
      return {
        whole,
        revision: currentRevision,
        members: [...records.values()].filter(entry => whole || entry.revision > since).map(({ member }) => member),
        gone: whole ? [] : removals.filter(removal => removal.revision > since && !records.has(removal.name)).map(({ name }) => name)
      }
    }
  }
}

function digestMembers (members: Member[]): string {
  return digestText(members.map(({ name, ready, isCutOff }) => `${name}:${ready ? 1 : 0}${isCutOff === true ? 'c' : ''}`).sort().join())
}

function isSame (first: Member, second: Member): boolean {
  return first.ready === second.ready && first.isCutOff === second.isCutOff && first.guestAddress === second.guestAddress && first.peerAddress === second.peerAddress &&
    first.processorShare === second.processorShare
}
