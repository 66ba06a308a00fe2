// Selects the entry hosts returned to a guest that requests addresses. Hosts of the guest's data centre come
// first, and within a data centre the order is random, so that guests are distributed over the hosts. Some
// places are reserved for other data centres, so that a guest can still connect if one data centre fails.
// This host is always a candidate while it serves, so the selection is never empty then.
import { sample, type Random } from '@siskinbeam/random/createRandom'
import { listLiveEntryHosts } from '@siskinbeam/entry-hosts/listEntryHosts'
import type { MembershipState } from '@siskinbeam/entry-hosts/membershipState'

/** Address at which an entry host serves guests. */
export interface EntryAddress {
  address: string
  dataCentre: string
}

/** Body of the response to `GET /.siskinbeam/addresses`, without the bundle version. */
export interface AddressSelection {
  addresses: EntryAddress[]
  timeToLiveSeconds: number
}

export interface SelectEntryAddressesOptions {
  membership: MembershipState
  /** The guest's data centre, if the guest states one; otherwise this host's data centre is preferred. */
  dataCentre?: string
  /** The setting `entryAddresses` of the bundle. */
  rule: { maximumAddresses: number, timeToLiveSeconds: number }
  now: number
  random: Random
}

const remoteDataCentreRatio = 1 / 3

/** Selects the addresses for one guest. The list is empty only if all known hosts are leaving. */
export function selectEntryAddresses ({ membership, dataCentre, rule, now, random }: SelectEntryAddressesOptions): AddressSelection {
  const preferred = dataCentre ?? membership.own.dataCentre
  const serving = listLiveEntryHosts(membership, now).filter(({ leaving }) => !leaving)
  const remoteHosts = serving.filter(host => host.dataCentre !== preferred)
  const reserved = Math.min(remoteHosts.length, Math.floor(rule.maximumAddresses * remoteDataCentreRatio))
  const local = sample(random, serving.filter(host => host.dataCentre === preferred), rule.maximumAddresses - reserved)
  const remote = sample(random, remoteHosts, rule.maximumAddresses - local.length)
  return {
    addresses: [...local, ...remote].map(({ guestAddress, dataCentre }) => ({ address: guestAddress, dataCentre })),
    timeToLiveSeconds: rule.timeToLiveSeconds
  }
}
