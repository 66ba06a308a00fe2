// Messages and handlers shared by the tests and by the measurement.
import { createServer, connect } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import type { MemberEntry } from '@siskinbeam/entry-hosts/memberEntry'
import type { PeerMessage } from '@siskinbeam/protocol/peerMessage'
import { createLogger } from '@siskinbeam/logging/createLogger'
import { succeed } from '@siskinbeam/result-codes/codedError'
import { servePeers, type PeerHandlers, type PeerServer } from '../src/servePeers.js'

export const peerKey = 'peer-key-of-32-characters-000001'
export const operatorKey = 'operator-key-of-32-characters-01'

export function makeEntry (index: number): MemberEntry {
  return {
    host: `trust-entry-${index}`,
    bootId: (0x19a_0000_0000 + index).toString(16).padStart(16, '0'),
    counter: 40 + index,
    dataCentre: `trust-dc-${index % 3}`,
    guestAddress: `10.20.${index >> 8}.${index & 255}:8080`,
    peerAddress: `10.20.${index >> 8}.${index & 255}:8081`,
    leaving: false,
    bundleVersion: 1_250_000,
    suspected: false
  }
}

export function makeMessage (members: number, loadReports = 0): PeerMessage {
  return {
    heartbeat: { sender: makeEntry(0), members: Array.from({ length: members }, (_, index) => makeEntry(index + 1)) },
    bundleDigestPrefix: '00112233aabbccdd',
    crashReport: { suspects: [], serverDeaths: [] },
    loadReports: Array.from({ length: loadReports }, (_, index) => ({ serverId: index.toString(16).padStart(16, 'a'), inFlight: 2, queued: 1, latencyMilliseconds: 12.5, ageMilliseconds: 150 }))
  }
}

export const handlers: PeerHandlers = {
  exchange: message => message,
  fetchBundle: async version => succeed({ version, bundle: Buffer.alloc(100_000, 7) }),
  dump: () => '{"state":"ok"}',
  status: () => ({ host: 'trust-entry-0', bootId: '0019a00000000000', bundleVersion: 7, bundleDigest: 'ab'.repeat(32), signers: ['ann', 'bob'], leaving: false, inFlight: 3, isolatedMilliseconds: 0 })
}

export function startPeer (changes: Partial<PeerHandlers> = {}): Promise<PeerServer> {
  const logger = createLogger({ component: 'peers', write: () => undefined })
  return servePeers({ address: '127.0.0.1:0', peerKey, operatorKey, handlers: { ...handlers, ...changes }, logger })
}

/** Forwards connections to an address and counts the bytes of both directions. */
export async function startRelay (target: string): Promise<{ address: string, sent: () => number, received: () => number, connections: () => number, close: () => void }> {
  const counts = { sent: 0, received: 0, connections: 0 }
  const sockets = new Set<Socket>()
  const [host, port] = target.split(':')
  const server = createServer(near => {
    const far = connect(Number(port), host ?? '')
    counts.connections += 1
    near.on('data', bytes => { counts.sent += bytes.length })
    far.on('data', bytes => { counts.received += bytes.length })
    near.pipe(far).pipe(near)
    ;[near, far].forEach(socket => {
      sockets.add(socket)
      socket.on('error', () => { near.destroy(); far.destroy() })
      socket.on('close', () => { sockets.delete(socket) })
    })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    sent: () => counts.sent,
    received: () => counts.received,
    connections: () => counts.connections,
    close: () => {
      server.close()
      sockets.forEach(socket => { socket.destroy() })
    }
  }
}
