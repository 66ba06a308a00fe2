// The entry hosts of the own data centre that are alive, as far as this host hears of them.
import { createHash } from 'node:crypto'
import type { Member } from './peerMessages.js'

export interface Members {
  /** Takes note of a host that just called. */
  hear: (member: Member) => void
  /** Replaces the list by that of the host that this host follows. */
  adopt: (members: Member[]) => void
  /** The list of the host that this host follows is the same as before. */
  confirm: () => void
  /** A host whose call broke off is left out until it calls again. */
  drop: (name: string) => void
  list: () => Member[]
  digest: () => string
}

/** Characters of a digest; two lists of a data centre are never confused with that many. */
const digestLength = 16
/** Followers call at least twice in this time. */
const silentMilliseconds = 1_300

/** Creates the list; `own` gives the own entry as it is now. */
export function createMembers (own: () => Member, now: () => number): Members {
  const heard = new Map<string, { member: Member, at: number }>()
  const list = (): Member[] => [own(), ...[...heard.values()].filter(({ at }) => now() - at < silentMilliseconds).map(({ member }) => member)]
  const hear = (member: Member): void => {
    if (member.name !== own().name && member.dataCentre === own().dataCentre) heard.set(member.name, { member, at: now() })
  }
  return {
    hear,
    adopt: members => {
      heard.clear()
      members.forEach(hear)
    },
    confirm: () => heard.forEach(entry => { entry.at = now() }),
    drop: name => { heard.delete(name) },
    list,
    digest: () => createHash('sha256').update(list().map(({ name, ready }) => `${name}:${ready ? 1 : 0}`).sort().join()).digest('base64url').slice(0, digestLength)
  }
}
