// Splits a server's limit between data centres, which share no count. The data centre of the server gets the largest share,
// because its hosts prefer the server.
import { hashText } from '@siskinbeam/random/hashText'

export interface ComputeLimitShareOptions {
  server: string
  /** Data centre of the server. */
  serverDataCentre: string
  /** Data centre whose share is computed. */
  dataCentre: string
  /** All data centres with hosts. */
  dataCentres: readonly string[]
}

/** Share of the server's own data centre if others use the server, too. */
const ownShare = 0.5
/** Each data centre adds one request to the largest number in a window, so only some of many may use a limited server. */
const maximumDataCentres = 5

/** Returns the fraction of the limit that the hosts of a data centre may use, from 0 to 1. All hosts compute the same. */
export function computeLimitShare ({ server, serverDataCentre, dataCentre, dataCentres }: ComputeLimitShareOptions): number {
  const hasOwn = dataCentres.includes(serverDataCentre)
  const others = dataCentres
    .filter(name => name !== serverDataCentre)
    .map(name => ({ name, score: hashText(name, hashText(server, 1)) }))
    .sort((first, second) => first.score - second.score || (first.name < second.name ? -1 : 1))
    .slice(0, hasOwn ? maximumDataCentres - 1 : maximumDataCentres)
    .map(({ name }) => name)
  if (hasOwn && dataCentre === serverDataCentre) return others.length === 0 ? 1 : ownShare
  return others.includes(dataCentre) ? (hasOwn ? 1 - ownShare : 1) / others.length : 0
}
