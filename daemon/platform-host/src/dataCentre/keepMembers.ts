// The entry hosts of the own data centre that are alive, as far as this host hears of them. The list
// counts its changes, so that followers are sent no more than what is new to them.
import { digestText } from '@siskinbeam/random/hashText'
import type { Member, MembersUpdate } from './peerMessages.js'

export interface Members {
  /** Takes note of a host that just called. */
  hear: (member: Member) => void
  /** Takes over what changed on the list of the host that this host follows. */
  adopt: (update: MembersUpdate) => void
  /** The list of the host that this host follows is the same as before. */
  confirm: () => void
  /** A host whose call broke off is left out until it calls again. */
  drop: (name: string) => void
  list: () => Member[]
  /** Number of the latest change. */
  revision: () => number
  digest: () => string
  /** What changed since a revision; the whole list for revision 0 or one that is too old. */
  readUpdate: (since: number) => MembersUpdate
}

interface ListedMember {
  member: Member
  /** When it was last heard of. */
  at: number
  revision: number
}

/** Followers call at least twice in this time. */
const silentMilliseconds = 1_300
const keptRemovals = 500
/** Looking for silent hosts goes through the whole list, and each held call asks for the revision. */
const silenceCheckMilliseconds = 100

/** Creates the list; `own` gives the own entry as it is now. */
export function createMembers (own: () => Member, now: () => number): Members {
  const listed = new Map<string, ListedMember>()
  const removals: Array<{ name: string, revision: number }> = []
  let revision = 0
  let oldestRevision = 0
  let digest = { revision: -1, text: '' }
  let checkedAt = -Infinity

  const put = (member: Member): void => {
    const known = listed.get(member.name)
    if (known !== undefined && isSame(known.member, member)) {
      known.at = now()
      return
    }
    revision += 1
    listed.set(member.name, { member, at: now(), revision })
  }
  const remove = (name: string): void => {
    if (!listed.delete(name)) return
    revision += 1
    removals.push({ name, revision })
    const forgotten = removals.splice(0, Math.max(0, removals.length - keptRemovals))
    oldestRevision = forgotten.at(-1)?.revision ?? oldestRevision
  }
  const refresh = (): void => {
    put(own())
    if (now() - checkedAt < silenceCheckMilliseconds) return
    checkedAt = now()
    ;[...listed.values()].filter(({ at }) => now() - at >= silentMilliseconds).forEach(({ member }) => remove(member.name))
  }
  const hear = (member: Member): void => {
    const { name, dataCentre } = own()
    if (member.name !== name && member.dataCentre === dataCentre) put(member)
  }
  const list = (): Member[] => {
    refresh()
    return [...listed.values()].map(({ member }) => member)
  }
  const readRevision = (): number => {
    refresh()
    return revision
  }
  return {
    hear,
    adopt: ({ whole, members, gone }) => {
      const named = new Set(members.map(({ name }) => name))
      const missing = whole ? [...listed.keys()].filter(name => !named.has(name)) : gone
      missing.filter(name => name !== own().name).forEach(remove)
      members.forEach(hear)
      listed.forEach(entry => { entry.at = now() })
    },
    confirm: () => listed.forEach(entry => { entry.at = now() }),
    drop: remove,
    list,
    revision: readRevision,
    digest: () => {
      const present = readRevision()
      if (digest.revision !== present) digest = { revision: present, text: digestMembers([...listed.values()].map(({ member }) => member)) }
      return digest.text
    },
    readUpdate: since => {
      const present = readRevision()
      const whole = since <= 0 || since < oldestRevision || since > present
      return {
        whole,
        revision: present,
        members: [...listed.values()].filter(entry => whole || entry.revision > since).map(({ member }) => member),
        gone: whole ? [] : removals.filter(removal => removal.revision > since && !listed.has(removal.name)).map(({ name }) => name)
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
