// Checks after a broken connection whether the server process died. It did if the server refuses new connections
// or states another boot ID. Peers receive the crash report before the guest receives the error response.
import { CrashEventKind } from '@siskinbeam/crash-suspects/crashTypes'
import type { EntryHost } from '../entryHost.js'
import { probeOnNewConnection, ProbeResult } from './probeServer.js'
import type { OpenSend, ServerRuntime, ServiceRuntime } from './serviceRuntime.js'

/** Sends that broke within this time before the check count as in flight when the server died. */
const brokenSendWindowMilliseconds = 1_000
/** A crashing process closes its connections shortly before its listening socket, so the probe waits for this time. */
const portCloseDelayMilliseconds = 5

/** Checks the server of a broken send. Sends that break while a check runs share its result. */
export function checkServerDeath (host: EntryHost, service: ServiceRuntime, send: OpenSend & { server: ServerRuntime }): Promise<void> {
  const { server } = send
  const now = host.now()
  server.recentBrokenSends = [...server.recentBrokenSends.filter(({ brokenAt }) => now - brokenAt < brokenSendWindowMilliseconds), { fingerprint: send.fingerprint, writtenAt: send.writtenAt, brokenAt: now }]
  server.pendingDeathCheck ??= runDeathCheck(host, service, server).finally(() => { server.pendingDeathCheck = undefined })
  return server.pendingDeathCheck
}

async function runDeathCheck (host: EntryHost, service: ServiceRuntime, server: ServerRuntime): Promise<void> {
  const { boot } = server
  await new Promise(resolve => setTimeout(resolve, portCloseDelayMilliseconds))
  const result = await probeOnNewConnection(host, service, server)
  const isDead = result === ProbeResult.Refused || (boot !== '' && server.boot !== boot)
  if (!isDead) return
  const now = host.now()
  const inFlight = [...server.recentBrokenSends.filter(({ brokenAt }) => now - brokenAt < brokenSendWindowMilliseconds), ...server.openSends]
    .map(({ fingerprint, writtenAt }) => ({ fingerprint: fingerprint(), ageMilliseconds: now - writtenAt }))
  server.recentBrokenSends = []
  host.logger.warn('server died', { service: service.configuration.name, server: server.configuration.name, boot, inFlight: inFlight.length })
  await host.handleCrashEvent({ kind: CrashEventKind.ServerDied, server: server.configuration.name, boot, inFlight })
}
