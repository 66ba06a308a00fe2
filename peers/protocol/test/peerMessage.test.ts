// Guards against messages that change in encoding and decoding, and against accepting malformed messages.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import fastCheck from 'fast-check'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { computeServerId } from '../src/compactFields.js'
import { HeartbeatSchema } from '../src/generated/siskinbeam/peer/v1/peer_pb.js'
import { packPeerMessage, unpackPeerMessage, type PeerMessage } from '../src/peerMessage.js'
import { packPeerStatus, unpackPeerStatus } from '../src/peerStatus.js'

const hexadecimal = (bytes: number) => fastCheck.uint8Array({ minLength: bytes, maxLength: bytes }).map(value => Buffer.from(value).toString('hex'))
const port = fastCheck.integer({ min: 1, max: 65_535 })
const plain = { noNullPrototype: true }
const count = fastCheck.integer({ min: 0, max: 0xffff_ffff })
const address = fastCheck.tuple(fastCheck.ipV4(), port).map(([ip, number]) => `${ip}:${number}`)
const entry = fastCheck.record({
  host: fastCheck.stringMatching(/^[a-z0-9][a-z0-9-]{0,62}$/),
  bootId: hexadecimal(8),
  counter: count,
  dataCentre: fastCheck.stringMatching(/^[a-z0-9][a-z0-9-]{0,62}$/),
  guestAddress: address,
  peerAddress: address,
  leaving: fastCheck.boolean(),
  bundleVersion: fastCheck.maxSafeNat(),
  suspected: fastCheck.constant(true),
  suspectedMilliseconds: count
}, plain)
const death = fastCheck.record({ server: fastCheck.string({ maxLength: 63 }), boot: fastCheck.uuid(), agoMilliseconds: count }, plain)
const suspect = fastCheck.record({
  fingerprint: hexadecimal(32),
  deaths: fastCheck.array(fastCheck.record({ server: fastCheck.string({ maxLength: 63 }), boot: fastCheck.uuid(), agoMilliseconds: count, requestAgeMilliseconds: count }, plain), { maxLength: 3 }),
  clearedDeaths: fastCheck.array(fastCheck.string({ maxLength: 100 }), { maxLength: 3 }),
  succeededBefore: fastCheck.boolean()
}, plain)
const message: fastCheck.Arbitrary<PeerMessage> = fastCheck.record({
  heartbeat: fastCheck.record({ sender: entry, members: fastCheck.array(entry, { maxLength: 7 }), membersFrom: fastCheck.option(count, { nil: undefined }) }, plain),
  bundleDigestPrefix: fastCheck.oneof(fastCheck.constant(''), hexadecimal(8)),
  crashReport: fastCheck.record({ suspects: fastCheck.array(suspect, { maxLength: 4 }), serverDeaths: fastCheck.array(death, { maxLength: 4 }) }, plain),
  loadReports: fastCheck.array(fastCheck.record({ serverId: hexadecimal(8), inFlight: count, queued: count, latencyMilliseconds: fastCheck.integer({ min: 0, max: 4_000_000 }), ageMilliseconds: count }, plain), { maxLength: 32 })
}, plain)

test('a message is unchanged after encoding and decoding', () => {
  fastCheck.assert(fastCheck.property(message, value => {
    const wire = fromBinary(HeartbeatSchema, toBinary(HeartbeatSchema, packPeerMessage(value)))
    assert.deepEqual(unpackPeerMessage(wire), { ok: true, value })
  }), { seed: 20_261_204, numRuns: 200 })
})

test('arbitrary bytes result in a message or a coded error', () => {
  fastCheck.assert(fastCheck.property(message, fastCheck.nat(), fastCheck.nat(255), (value, position, byte) => {
    const bytes = toBinary(HeartbeatSchema, packPeerMessage(value))
    bytes[position % bytes.length] = byte
    try {
      const result = unpackPeerMessage(fromBinary(HeartbeatSchema, bytes))
      assert.ok(result.ok || result.error.code === ResultCode.MalformedRequest)
    } catch (error) {
      // The protobuf library throws on bytes that it cannot parse; connect-es reports this to the caller.
      assert.match(String((error as Error).stack), /protobuf/)
    }
  }), { seed: 20_261_204, numRuns: 500 })
})

test('a message without a sender or with a list over its maximum length is refused with the name of the field', () => {
  const empty = unpackPeerMessage(create(HeartbeatSchema))
  assert.ok(!empty.ok && empty.error.key === 'sender')
  const [sample] = fastCheck.sample(message, { seed: 1, numRuns: 1 })
  const wire = packPeerMessage(sample as PeerMessage)
  wire.members = Array.from({ length: 8 }, () => wire.sender as NonNullable<typeof wire.sender>)
  const long = unpackPeerMessage(wire)
  assert.ok(!long.ok && long.error.key === 'members')
})

test('a status is unchanged after encoding and decoding, and servers of two services have different IDs', () => {
  const status = { host: 'entry-1', bootId: '0123456789abcdef', bundleVersion: 7, bundleDigest: 'ab'.repeat(32), signers: ['ann', 'bob'], leaving: true, inFlight: 3, isolatedMilliseconds: 12 }
  assert.deepEqual(unpackPeerStatus(packPeerStatus(status)), { ok: true, value: status })
  assert.notEqual(computeServerId('desk', 'server-1'), computeServerId('issuer', 'server-1'))
})
