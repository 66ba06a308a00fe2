// Finds out whether a server died when a connection to it broke: it refuses new connections, or it
// answers with another boot. The peers are told before the failure reaches a guest.
import { CrashEventKind } from '@siskinbeam/crash-suspects/crashTypes'
import type { EntryHost } from '../entryHost.js'
import { checkServer, ProbeEnd } from './probeServer.js'
import type { OpenSend, ServerRuntime, ServiceRuntime } from './serviceRuntime.js'

/** Sends that broke this recently were in flight when the server died. */
const brokenMilliseconds = 1_000
/** A process that crashes closes its connections a moment before its port. */
const settleMilliseconds = 5

/** Checks the server of a send that broke, once for all sends that break together. */
export function checkServerDeath (host: EntryHost, service: ServiceRuntime, send: OpenSend & { server: ServerRuntime }): Promise<void> {
  const { server } = send
  const now = host.now()
  server.brokenSends = [...server.brokenSends.filter(({ brokenAt }) => now - brokenAt < brokenMilliseconds), { fingerprint: send.fingerprint, writtenAt: send.writtenAt, brokenAt: now }]
  server.deathCheck ??= check(host, service, server).finally(() => { server.deathCheck = undefined })
  return server.deathCheck
}

async function check (host: EntryHost, service: ServiceRuntime, server: ServerRuntime): Promise<void> {
  const { boot } = server
  await new Promise(resolve => setTimeout(resolve, settleMilliseconds))
  const end = await checkServer(host, service, server)
  const isDead = end === ProbeEnd.Refused || (boot !== '' && server.boot !== boot)
  if (!isDead) return
  const now = host.now()
  const inFlight = [...server.brokenSends.filter(({ brokenAt }) => now - brokenAt < brokenMilliseconds), ...server.openSends]
    .map(({ fingerprint, writtenAt }) => ({ fingerprint: fingerprint(), ageMilliseconds: now - writtenAt }))
  server.brokenSends = []
  host.logger.warn('server died', { service: service.rule.name, server: server.place.name, boot, inFlight: inFlight.length })
  await host.feedCrashes({ kind: CrashEventKind.ServerDied, server: server.place.name, boot, inFlight })
}
