// Peer on the loopback address with fixed responses, and sample messages of a given size.
import type { MemberEntry } from '@siskinbeam/entry-hosts/memberEntry'
import type { PeerMessage } from '@siskinbeam/protocol/peerMessage'
import { bindListener } from '@siskinbeam/listeners/bindListener'
import { createLogger } from '@siskinbeam/logging/createLogger'
import { succeed } from '@siskinbeam/result-codes/codedError'
import { servePeers, type PeerHandlers, type PeerServer } from '../servePeers.js'

export const peerKey = 'peer-key-of-32-characters-000001'
export const operatorKey = 'operator-key-of-32-characters-01'

export function createSampleEntry (index: number): MemberEntry {
  return {
    host: `trust-entry-${index}`,
    bootId: (0x19a_0000_0000 + index).toString(16).padStart(16, '0'),
    counter: 40 + index,
    dataCentre: `trust-dc-${index % 3}`,
    guestAddress: `10.20.${index >> 8}.${index & 255}:8080`,
    peerAddress: `10.20.${index >> 8}.${index & 255}:8081`,
    leaving: false,
    bundleVersion: 1_250_000,
    suspected: false,
    suspectedMilliseconds: 0
  }
}

export function createSampleMessage (members: number, loadReports = 0): PeerMessage {
  return {
    heartbeat: { sender: createSampleEntry(0), members: Array.from({ length: members }, (_, index) => createSampleEntry(index + 1)), membersFrom: undefined },
    bundleDigestPrefix: '00112233aabbccdd',
    crashReport: { suspects: [], serverDeaths: [] },
    loadReports: Array.from({ length: loadReports }, (_, index) => ({ serverId: index.toString(16).padStart(16, 'a'), inFlight: 2, queued: 1, latencyMilliseconds: 12.5, ageMilliseconds: 150 }))
  }
}

export const sampleHandlers: PeerHandlers = {
  exchange: message => message,
  fetchBundle: async version => succeed({ version, bundle: Buffer.alloc(100_000, 7) }),
  dump: () => '{"state":"ok"}',
  status: () => ({ host: 'trust-entry-0', bootId: '0019a00000000000', bundleVersion: 7, bundleDigest: 'ab'.repeat(32), signers: ['ann', 'bob'], leaving: false, inFlight: 3, isolatedMilliseconds: 0 })
}

export function startSamplePeer (changes: Partial<PeerHandlers> = {}): Promise<PeerServer> {
  const logger = createLogger({ component: 'peers', write: () => undefined })
  return servePeers({ bind: server => bindListener(server, '127.0.0.1:0'), peerKey, operatorKey, handlers: { ...sampleHandlers, ...changes }, logger })
}
