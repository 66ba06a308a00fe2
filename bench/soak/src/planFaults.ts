// Draws the faults of a soak from its seed: single ones, series of the same kind, and overlaps.
import { createRandom, pickIndex, type Random } from '@siskinbeam/random/createRandom'

export enum FaultKind {
  /** SIGKILL, and a new start. */
  KillHost = 'kill-host',
  /** SIGTERM, and a new start once the process is gone. */
  StopHost = 'stop-host',
  /** SIGSTOP, then SIGCONT. */
  PauseHost = 'pause-host',
  KillAllHosts = 'kill-all-hosts',
  KillServer = 'kill-server',
  PauseServer = 'pause-server',
  /** A server is replaced: the new one starts, the old one drains and leaves. */
  ReplaceServer = 'replace-server',
  ResetServerLinks = 'reset-server-links',
  DelayServerLinks = 'delay-server-links',
  /** Bytes of servers do not reach the hosts. */
  CutServerAnswers = 'cut-server-answers',
  SilenceStoreLink = 'silence-store-link',
  ResetStoreLinks = 'reset-store-links',
  StoreRefuses = 'store-refuses',
  StoreSilent = 'store-silent',
  StoreLosesReplies = 'store-loses-replies',
  StoreWritesLate = 'store-writes-late',
  StoreReadsStale = 'store-reads-stale',
  StoreDropsHistory = 'store-drops-history',
  ChangeConfiguration = 'change-configuration'
}

export interface PlannedFault {
  kind: FaultKind
  /** Milliseconds from the start of traffic. */
  at: number
  lastsMilliseconds: number
  /** Picks what it strikes, as a share of the candidates in order. */
  target: number
}

export interface PlanFaultsOptions {
  seed: number
  milliseconds: number
}

const kinds = Object.values(FaultKind)
const meanGapMilliseconds = 700
const shortestFaultMilliseconds = 300
const longestFaultMilliseconds = 3_500
const seriesShare = 0.25
const longestSeries = 4
/** The first requests and the last ones meet no new fault. */
const calmMilliseconds = 1_500

/** Gives the faults in the order of their times. */
export function planFaults ({ seed, milliseconds }: PlanFaultsOptions): PlannedFault[] {
  const random = createRandom(seed)
  const end = milliseconds - calmMilliseconds - longestFaultMilliseconds
  const draw = (from: number): PlannedFault[] => {
    const at = from + meanGapMilliseconds * 2 * random()
    if (at >= end) return []
    return [...drawSeries(random, at), ...draw(at)]
  }
  return draw(calmMilliseconds).filter(({ at }) => at < end).sort((first, second) => first.at - second.at)
}

function drawSeries (random: Random, at: number): PlannedFault[] {
  const kind = kinds[pickIndex(random, kinds.length)] as FaultKind
  const count = random() < seriesShare ? 2 + pickIndex(random, longestSeries - 1) : 1
  return Array.from({ length: count }, (_, index) => ({
    kind,
    at: at + index * 400 * random(),
    lastsMilliseconds: shortestFaultMilliseconds + (longestFaultMilliseconds - shortestFaultMilliseconds) * random() ** 2,
    target: random()
  }))
}
