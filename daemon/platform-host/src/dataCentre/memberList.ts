// The entry hosts of the own data centre that are alive, as far as this host hears of them. The list
// counts its changes, so that followers are sent no more than what is new to them.
import { digestText } from '@siskinbeam/random/hashText'
import type { Member, MembersUpdate } from './peerMessages.js'

export interface MemberList {
  /** Takes note of a host that just called. */
  recordCall: (member: Member) => void
  /** Takes over what changed on the list of the host that this host follows. */
  applyUpdate: (update: MembersUpdate) => void
  /** The list of the host that this host follows is the same as before. */
  renewAll: () => void
  /** A host whose call broke off is left out until it calls again. */
  remove: (name: string) => void
  list: () => Member[]
  /** Number of the latest change. */
  revision: () => number
  digest: () => string
  /** What changed since a revision; the whole list for revision 0 or one that is too old. */
  readUpdate: (since: number) => MembersUpdate
}

interface MemberRecord {
  member: Member
  /** When it was last heard of. */
  lastSeenAt: number
  revision: number
}

/** Followers call at least twice in this time. */
const memberTimeoutMilliseconds = 1_300
const maximumRemovals = 500
/** Looking for silent hosts goes through the whole list, and each held call asks for the revision. */
const expiryCheckMilliseconds = 100

/** Creates the list; `own` gives the own entry as it is now. */
export function createMemberList (own: () => Member, now: () => number): MemberList {
  const records = new Map<string, MemberRecord>()
  const removals: Array<{ name: string, revision: number }> = []
  let revision = 0
  let oldestRevision = 0
  let digest = { revision: -1, text: '' }
  let checkedAt = -Infinity

  const put = (member: Member): void => {
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
    const forgotten = removals.splice(0, Math.max(0, removals.length - maximumRemovals))
    oldestRevision = forgotten.at(-1)?.revision ?? oldestRevision
  }
  const refresh = (): void => {
    put(own())
    if (now() - checkedAt < expiryCheckMilliseconds) return
    checkedAt = now()
    ;[...records.values()].filter(({ lastSeenAt }) => now() - lastSeenAt >= memberTimeoutMilliseconds).forEach(({ member }) => remove(member.name))
  }
  const recordCall = (member: Member): void => {
    const { name, dataCentre } = own()
    if (member.name !== name && member.dataCentre === dataCentre) put(member)
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
  return digestText(members.map(({ name, ready }) => `${name}:${ready ? 1 : 0}`).sort().join())
}

function isSame (first: Member, second: Member): boolean {
  return first.ready === second.ready && first.guestAddress === second.guestAddress && first.peerAddress === second.peerAddress &&
    first.processorShare === second.processorShare
}
