// Guards against load on the store by starting hosts: between joining and choosing its source, a host must not watch the
// store itself.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createLogger } from '@siskinbeam/logging/createLogger'
import { superviseProcess } from '@siskinbeam/processes/superviseProcess'
import { createRandom } from '@siskinbeam/random/createRandom'
import { addHosts, createSourceSelection } from '@siskinbeam/watch-duty/sourceSelection'
import type { PeerClient } from '../src/dataCentre/peerClient.js'
import { followSource, type SourceFollower } from '../src/dataCentre/followSource.js'
import type { PlatformHost } from '../src/platformHost.js'
import { waitUntil } from './support/startPlatform.js'

const describeHost = (name: string, processorShare: number): { name: string, peerAddress: string, guestAddress: string, processorShare: number } =>
  ({ name, peerAddress: `${name}:1`, guestAddress: `${name}:2`, processorShare })

function createFollower (hasJoined: () => boolean, others: string[]): { follower: SourceFollower, stop: () => void } {
  const sourceSelection = createSourceSelection(describeHost('own', 0.2))
  addHosts(sourceSelection, others.map(name => describeHost(name, 1)))
  const logger = createLogger({ component: 'entry-host', fields: {}, write: () => {} })
  const follower = followSource({
    host: { settings: { host: 'own', peerAddress: 'own:1', seedPeers: [] }, logger, random: createRandom(1), now: () => performance.now() } as unknown as PlatformHost,
    sourceSelection,
    peerClient: { sync: () => new Promise(() => {}) } as unknown as PeerClient,
    watch: { confirmedAt: () => 0, failingSince: () => undefined },
    hasJoined
  })
  const following = superviseProcess({ name: 'follow', logger, body: follower.run })
  return { follower, stop: following.stop }
}

test('a host that has joined and knows a better source is never its own source', async () => {
  let joined = false
  const { follower, stop } = createFollower(() => joined, ['larger'])
  joined = true
  assert.equal(follower.isOwnSource(), false)
  await waitUntil('the better source is followed', () => follower.source() === 'larger')
  assert.equal(follower.isOwnSource(), false)
  stop()
})

test('a host that has joined and knows no other host becomes its own source', async () => {
  const { follower, stop } = createFollower(() => true, [])
  await waitUntil('the host is its own source', follower.isOwnSource)
  assert.equal(follower.source(), 'own')
  stop()
})
