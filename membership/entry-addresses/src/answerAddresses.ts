// Answers a guest that asks which entry hosts to use. Hosts of the guest's data centre come first, and
// within a data centre the order is random, so that guests spread over the hosts. Some places are kept for
// other data centres, so that an answer outlives the loss of one. This host itself is always part of the
// choice while it serves, so the answer is never empty then.
import { sample, type Random } from '@siskinbeam/random/createRandom'
import { listLiveEntryHosts } from '@siskinbeam/entry-hosts/listEntryHosts'
import type { MembershipState } from '@siskinbeam/entry-hosts/membershipState'

/** One address for guests. */
export interface EntryAddress {
  address: string
  dataCentre: string
}

/** The answer to `GET /.siskinbeam/addresses`, without the bundle version. */
export interface AddressAnswer {
  addresses: EntryAddress[]
  timeToLiveSeconds: number
}

export interface AnswerAddressesOptions {
  membership: MembershipState
  /** The guest's data centre, if it states one; otherwise this host's is preferred. */
  dataCentre?: string
  /** `entryAddresses` of the bundle. */
  rule: { maximumAddresses: number, timeToLiveSeconds: number }
  now: number
  random: Random
}

const shareOfOtherDataCentres = 1 / 3

/** Chooses the addresses for one guest. Empty only if every host known is leaving. */
export function answerAddresses ({ membership, dataCentre, rule, now, random }: AnswerAddressesOptions): AddressAnswer {
  const preferred = dataCentre ?? membership.own.dataCentre
  const serving = listLiveEntryHosts(membership, now).filter(({ leaving }) => !leaving)
  const elsewhere = serving.filter(host => host.dataCentre !== preferred)
  const kept = Math.min(elsewhere.length, Math.floor(rule.maximumAddresses * shareOfOtherDataCentres))
  const near = sample(random, serving.filter(host => host.dataCentre === preferred), rule.maximumAddresses - kept)
  const far = sample(random, elsewhere, rule.maximumAddresses - near.length)
  return {
    addresses: [...near, ...far].map(({ guestAddress, dataCentre }) => ({ address: guestAddress, dataCentre })),
    timeToLiveSeconds: rule.timeToLiveSeconds
  }
}
