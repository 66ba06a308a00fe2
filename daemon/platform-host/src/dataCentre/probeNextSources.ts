// Asks the next possible sources side by side while the current one is silent, so that the host that follows them goes on with one that answers,
// however many are silent. The calls name no followed source, so that a host that answers does not begin to watch the store for them.
import type { Logger } from '@siskinbeam/logging/createLogger'
import { createSourceProbes, listSilentHosts, probeIntervalMilliseconds, recordProbeAnswer, silenceMilliseconds, takeProbes } from '@siskinbeam/watch-duty/sourceProbes'
import { listNextSources, recordSourceSuccess, type KnownHost, type SourceSelectionState } from '@siskinbeam/watch-duty/sourceSelection'

export interface ProbeNextSourcesOptions {
  sourceSelection: SourceSelectionState
  logger: Logger
  now: () => number
  /** Calls a host once; resolves with whether it answered. */
  ask: (host: KnownHost) => Promise<boolean>
}

/** Probes during one call to a source. */
export interface NextSourceProbes {
  /** Resolves with the silent hosts that are to be passed over, once the next source is known. */
  findSilent: () => Promise<KnownHost[]>
  stop: () => void
}

/** Starts the probes, which wait until the source has been silent for longer than a long poll. */
export function probeNextSources ({ sourceSelection, logger, now, ask }: ProbeNextSourcesOptions, source: KnownHost): NextSourceProbes {
  const probes = createSourceProbes()
  const own = sourceSelection.own.name
  let resolveSilent: ((hosts: KnownHost[]) => void) | undefined
  let timer: NodeJS.Timeout | undefined
  const stop = (): void => clearTimeout(timer)

  const askHost = (host: KnownHost): void => {
    ask(host).then(hasAnswered => {
      if (!hasAnswered) return
      recordProbeAnswer(probes, host.name)
      recordSourceSuccess(sourceSelection, host.name)
    }, (error: unknown) => logger.warn('asking a next source failed', { host: host.name, reason: String(error) }))
  }

  const step = (): void => {
    const candidates = listNextSources(sourceSelection, source.name, now())
    const hosts = takeProbes(probes, candidates, own, now())
    hosts.forEach(askHost)
    const silent = resolveSilent === undefined ? undefined : listSilentHosts(probes, candidates, own, now())
    if (silent !== undefined) resolveSilent?.(silent)
    else if (resolveSilent !== undefined || hosts.length > 0) timer = setTimeout(step, probeIntervalMilliseconds)
  }
  timer = setTimeout(step, silenceMilliseconds)

  return {
    findSilent: () => new Promise(resolve => {
      resolveSilent = resolve
      stop()
      step()
    }),
    stop
  }
}
