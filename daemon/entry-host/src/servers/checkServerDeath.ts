// Checks after a broken connection whether the server process died. It did if the server refuses new connections
// or states another boot ID. Peers receive the crash report before the guest receives the error response. A cancelled send
// closes its connection itself, so its server is checked when another send breaks or the server refuses a connection.
import { CrashEventKind } from '@siskinbeam/crash-suspects/crashTypes'
import type { EntryHost } from '../entryHost.js'
import { probeOnNewConnection, ProbeResult } from './probeServer.js'
import type { EndedSend, OpenSend, ServerRuntime, ServiceRuntime } from './serviceRuntime.js'

/** Sends that broke or were cancelled within this time before the check count as in flight when the server died. */
const endedSendWindowMilliseconds = 1_000
const maximumEndedSends = 32
/** A crashing process closes its connections shortly before its listening socket, so the probe waits for this time. */
const portCloseDelayMilliseconds = 5

/** Checks the server of a broken send. Sends that break while a check runs share its result. */
export function checkServerDeath (host: EntryHost, service: ServiceRuntime, send: OpenSend & { server: ServerRuntime }): Promise<void> {
  const { server } = send
  recordEndedSend(host, send)
  return startDeathCheck(host, service, server)
}

/** Records a send that broke or was cancelled. Only its fingerprint is kept. */
export function recordEndedSend (host: EntryHost, { server, fingerprint, writtenAt }: OpenSend & { server: ServerRuntime }): void {
  server.recentEndedSends = [...listRecentSends(host, server), { fingerprint: fingerprint(), writtenAt, endedAt: host.now() }].slice(-maximumEndedSends)
}

/** Checks a server that refused a connection, if sends to it have ended without a response shortly before. */
export function checkRefusingServer (host: EntryHost, service: ServiceRuntime, server: ServerRuntime): void {
  if (listRecentSends(host, server).length > 0) startDeathCheck(host, service, server).catch(() => {})
}

function startDeathCheck (host: EntryHost, service: ServiceRuntime, server: ServerRuntime): Promise<void> {
  server.pendingDeathCheck ??= runDeathCheck(host, service, server).finally(() => { server.pendingDeathCheck = undefined })
  return server.pendingDeathCheck
}

function listRecentSends (host: EntryHost, { recentEndedSends }: ServerRuntime): EndedSend[] {
  return recentEndedSends.filter(({ endedAt }) => host.now() - endedAt < endedSendWindowMilliseconds)
}

async function runDeathCheck (host: EntryHost, service: ServiceRuntime, server: ServerRuntime): Promise<void> {
  const { boot } = server
  await new Promise(resolve => setTimeout(resolve, portCloseDelayMilliseconds))
  const result = await probeOnNewConnection(host, service, server)
  const isDead = result === ProbeResult.Refused || (boot !== '' && server.boot !== boot)
  if (!isDead) return
  const now = host.now()
  const open = [...server.openSends].map(({ fingerprint, writtenAt }) => ({ fingerprint: fingerprint(), writtenAt }))
  const inFlight = [...listRecentSends(host, server), ...open].map(({ fingerprint, writtenAt }) => ({ fingerprint, ageMilliseconds: now - writtenAt }))
  server.recentEndedSends = []
  host.logger.warn('server died', { service: service.configuration.name, server: server.configuration.name, boot, inFlight: inFlight.length })
  await host.handleCrashEvent({ kind: CrashEventKind.ServerDied, server: server.configuration.name, boot, inFlight })
}
