// Recognises requests that crash the servers that run them. This host's observations and those of all other hosts are merged;
// crashRows.ts shares them through the store, and the calls between hosts pass them on within a data centre.
import { listUnclearedDeaths } from '@siskinbeam/crash-suspects/assessSuspect'
import { CrashCommandKind, CrashEventKind, SuspectStatus, type CrashCommand, type CrashEvent, type CrashReport, type SuspectReport } from '@siskinbeam/crash-suspects/crashTypes'
import { decideSuspectSend, SendDecisionKind, type SendDecision } from '@siskinbeam/crash-suspects/decideSuspectSend'
import { createCrashSuspectsState, expiryMilliseconds, reportSuspects, stepCrashSuspects } from '@siskinbeam/crash-suspects/stepCrashSuspects'
import type { Logger } from '@siskinbeam/logging/createLogger'
import type { ServerDeath } from '../servers/serverDeaths.js'
import { fingerprintHead, fingerprintRequest, type IdentifiedRequest } from './fingerprintRequest.js'
import { isSuspectReport, maximumDeaths } from './isSuspectReport.js'

export interface CrashDetection {
  /** Decides whether and how a request may be sent now. `listServers` returns the addresses of the servers that may take it. */
  decide: (request: IdentifiedRequest, listServers: () => string[]) => SendDecision
  /** Whether the request was in flight on a server that ended, and has not succeeded since. */
  isSuspect: (request: IdentifiedRequest) => boolean
  /** Time until a refused request is forgotten. */
  readRefusalMilliseconds: (request: IdentifiedRequest) => number
  /** Records that a server has completed the request, and returns the fingerprint to share if this clears it. */
  recordResponse: (request: IdentifiedRequest) => string[]
  /** Records a death and returns the fingerprints to share; none if it was known. */
  recordDeath: (death: ServerDeath) => string[]
  /** Applies suspects that another host has observed, and returns the fingerprints that this has changed. Entries that are no suspects are ignored. */
  applySuspects: (suspects: unknown, source: string) => string[]
  /** Describes some suspects for another host. */
  describe: (fingerprints: Iterable<string>) => SuspectReport[]
  /** Describes the suspects that have changed since a revision. */
  describeSince: (revision: number) => SuspectReport[]
  /** Increases whenever something about a suspect changes. */
  revision: () => number
  removeExpired: () => void
  /** Lists the suspects, for the dump. */
  list: () => Array<{ fingerprint: string, status: SuspectStatus, deaths: string[] }>
}

export interface CreateCrashDetectionOptions {
  logger: Logger
  count: (metric: string) => void
  now: () => number
  /** Called after each change of a suspect. */
  onChange: () => void
}

/** A success is recorded only for requests that are likely to be repeated by other guests. */
const maximumRepeatedBodyBytes = 256
/** A single death is most likely a coincidence, and a request that is held for it would miss its target. */
const minimumDeathsToIsolate = 2
const unrestricted: SendDecision = { kind: SendDecisionKind.Free }

/** Creates a detection without suspects. */
export function createCrashDetection ({ logger, count, now, onChange }: CreateCrashDetectionOptions): CrashDetection {
  const state = createCrashSuspectsState()
  const revisions = new Map<string, number>()
  /** Fingerprints of the suspects without their bodies, so that the body of another request needs no digest. */
  let heads = new Set<string>()
  let revision = 0

  const findFingerprint = (request: IdentifiedRequest): string | undefined => {
    if (state.suspects.size === 0 || !heads.has(fingerprintHead(request))) return undefined
    const fingerprint = fingerprintRequest(request)
    return state.suspects.has(fingerprint) ? fingerprint : undefined
  }
  const updateHeads = (): void => { heads = new Set([...state.suspects.keys()].map(fingerprint => fingerprint.split('.', 1)[0] ?? '')) }

  const commandHandlers: { [Kind in CrashCommandKind]: (command: Extract<CrashCommand, { kind: Kind }>) => string[] } = {
    [CrashCommandKind.Announce]: ({ report }) => report.suspects.map(({ fingerprint }) => fingerprint),
    [CrashCommandKind.Blamed]: ({ fingerprint, servers }) => {
      count('crash_suspects_blamed_total')
      logger.warn('request blamed for crashes', { fingerprint, servers: servers.join(',') })
      return [fingerprint]
    },
    [CrashCommandKind.Cleared]: ({ fingerprint }) => {
      logger.info('request no longer suspected of crashing servers', { fingerprint })
      return [fingerprint]
    }
  }
  /** Processes an event and returns the fingerprints that it has changed. */
  const step = (event: CrashEvent, at: number): string[] => {
    const commands = stepCrashSuspects({ state, event, now: at })
    const changed = [...new Set(commands.flatMap(command => (commandHandlers[command.kind] as (command: CrashCommand) => string[])(command)))]
    if (changed.length === 0) return changed
    revision += 1
    changed.forEach(fingerprint => revisions.set(fingerprint, revision))
    updateHeads()
    onChange()
    return changed
  }

  const describe = (fingerprints: Iterable<string>): SuspectReport[] => reportSuspects(state, fingerprints, now())
    .map(suspect => ({ ...suspect, deaths: suspect.deaths.slice(-maximumDeaths), clearedDeaths: suspect.clearedDeaths.slice(-maximumDeaths) }))

  return {
    decide: (request, listServers) => {
      const fingerprint = findFingerprint(request)
      const suspect = fingerprint === undefined ? undefined : state.suspects.get(fingerprint)
      if (suspect === undefined) return unrestricted
      if (suspect.status !== SuspectStatus.Blamed && listUnclearedDeaths(suspect).length < minimumDeathsToIsolate) return unrestricted
      return decideSuspectSend({ state, fingerprint: suspect.fingerprint, servers: listServers(), now: now() })
    },
    isSuspect: request => {
      const fingerprint = findFingerprint(request)
      return fingerprint !== undefined && state.suspects.get(fingerprint)?.status !== SuspectStatus.Cleared
    },
    readRefusalMilliseconds: request => {
      const suspect = state.suspects.get(findFingerprint(request) ?? '')
      return Math.max(0, ...[...suspect?.deaths.values() ?? []].map(({ at }) => at + expiryMilliseconds - now()))
    },
    recordResponse: request => {
      const isLikelyRepeated = (request.body?.length ?? 0) <= maximumRepeatedBodyBytes
      return isLikelyRepeated || findFingerprint(request) !== undefined ? step({ kind: CrashEventKind.Finished, fingerprint: fingerprintRequest(request) }, now()) : []
    },
    recordDeath: ({ endpoint: { server }, at, inFlight }) => {
      const requests = inFlight.map(({ fingerprint, sentAt }) => ({ fingerprint, ageMilliseconds: Math.max(0, at - sentAt) }))
      count('server_deaths_total')
      logger.warn('server died', {
        server: server.id,
        address: server.address,
        service: server.service,
        born: server.boot,
        requests: inFlight.map(({ requestId }) => requestId).join(','),
        fingerprints: requests.map(({ fingerprint }) => fingerprint).join(',')
      })
      return step({ kind: CrashEventKind.ServerDied, server: server.address, boot: `${server.id}@${server.boot}`, inFlight: requests }, at)
    },
    applySuspects: (suspects, source) => {
      const valid = Array.isArray(suspects) ? suspects.filter(isSuspectReport) : []
      if (!Array.isArray(suspects) || valid.length < suspects.length) logger.warn('crash report ignored', { source })
      // Deaths that other hosts report can explain those of other suspects as well.
      const serverDeaths: CrashReport['serverDeaths'] = valid.flatMap(({ deaths }) => deaths.map(({ server, boot, agoMilliseconds }) => ({ server, boot, agoMilliseconds })))
      return valid.length === 0 ? [] : step({ kind: CrashEventKind.PeerReported, report: { suspects: valid, serverDeaths } }, now())
    },
    describe,
    describeSince: since => describe([...revisions].filter(([, changedAt]) => changedAt > since).map(([fingerprint]) => fingerprint)),
    revision: () => revision,
    removeExpired: () => {
      step({ kind: CrashEventKind.Ticked }, now())
      ;[...revisions.keys()].filter(fingerprint => !state.suspects.has(fingerprint)).forEach(fingerprint => revisions.delete(fingerprint))
      updateHeads()
    },
    list: () => [...state.suspects.values()].map(suspect => ({ fingerprint: suspect.fingerprint, status: suspect.status, deaths: listUnclearedDeaths(suspect).map(({ server, boot }) => `${server} ${boot}`) }))
  }
}
