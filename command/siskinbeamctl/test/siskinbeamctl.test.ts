// Guards against two concurrent rollouts that are both reported as successful, a wrong result after a lost
// response, an unapproved bundle that is stored, and a host on another version that is not reported.
import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { test } from 'node:test'
import { HostRole, HostState } from '@siskinbeam/clients/createHostListClient'
import { validateBundle } from '@siskinbeam/schema/validateBundle'
import { createSigningKeyPair } from '@siskinbeam/signatures/signingKeys'
import { createFakeDependencies } from './fakeDependencies.js'

const readExample = (name: string): any => JSON.parse(readFileSync(new URL(`../../../../examples/bundles/${name}.json`, import.meta.url), 'utf8'))
const [author, approver] = [createSigningKeyPair(), createSigningKeyPair()]
const trusted = { SISKINBEAM_TRUSTED_KEYS: `${author.publicKey},${approver.publicKey}`, SISKINBEAM_OPERATOR_KEY: '0123456789abcdef' }

const createOperators = () => {
  const fakes = createFakeDependencies()
  const run = (commandLine: string, signingKey = author.privateKey) => fakes.run(commandLine, { ...trusted, SISKINBEAM_SIGNING_KEY: signingKey })
  const submit = async (name: string, version: number, previousDigest: string | null, slots: number): Promise<string> => {
    const body = { ...readExample('trust'), version, previousDigest }
    body.services[0].servers[0].slots = slots
    fakes.files.set(name, Buffer.from(JSON.stringify(body)))
    const steps = [await run(`bundle check ${name}`), await run(`bundle sign ${name} --output ${name}.signed`), await run(`bundle approve ${name}.signed --output ${name}.approved`, approver.privateKey), await run(`bundle submit ${name}.approved`)]
    assert.deepEqual(steps.flatMap(({ errors }) => errors), [])
    return /digest=([0-9a-f]{64})/.exec(steps[3]!.output[0]!)![1]!
  }
  return { ...fakes, run, submit }
}

test('a bundle is checked, signed, approved, submitted and rolled out, and history and diff show it', async () => {
  const { run, submit } = createOperators()
  const first = await submit('first', 1, null, 3)
  assert.equal((await run(`bundle rollout ${first}`)).exitCode, 0)
  const second = await submit('second', 2, first, 5)
  assert.equal((await run('bundle rollout second.approved')).exitCode, 0)
  assert.match((await run('bundle status')).output.join('\n'), new RegExp(`head version=2 digest=${second}\nverified name=trust author=`))
  assert.deepEqual((await run('bundle history --limit 5')).output.map(line => line.slice(0, 9)), ['version=2', 'version=1'])
  assert.ok((await run('bundle diff 1 second')).output.includes('~ services.permit-desk.servers.permit-desk-01.slots 3 -> 5'))
})

test('of two concurrent rollouts one succeeds, and the other fails and reports the version that succeeded', async () => {
  const { run, submit, concurrentActions } = createOperators()
  const [one, two] = [await submit('one', 1, null, 3), await submit('two', 1, null, 4)]
  concurrentActions.push(async () => { assert.equal((await run(`bundle rollout ${two}`)).exitCode, 0) })
  const loser = await run(`bundle rollout ${one}`)
  assert.equal(loser.exitCode, 1)
  assert.match(loser.errors[0]!, new RegExp(`^507 BundleHeadMoved: version 1 \\(digest ${two}\\).*expected="version 2 with previousDigest ${two}"`))
})

const lostResponses: Array<[string, boolean[], number, RegExp]> = [
  ['took effect', [true], 0, /^$/],
  ['did not take effect', [false, false], 0, /^$/],
  ['has an unknown outcome', Array(6).fill(false), 1, /^701 TableUnavailable.*may have taken effect/]
]
lostResponses.forEach(([title, lost, exitCode, error]) => test(`a rollout whose response was lost and that ${title} is reported correctly`, async () => {
  const { run, submit, lostWrites, rows } = createOperators()
  const digest = await submit('one', 1, null, 3)
  lostWrites.push(...lost)
  const result = await run(`bundle rollout ${digest}`)
  assert.equal(result.exitCode, exitCode)
  assert.match(result.errors.join('\n'), error)
  assert.equal((rows.get('bundle/head')?.value as any)?.digest, exitCode === 0 ? digest : undefined)
}))

test('a rollout that succeeded and was superseded is reported as successful, one that lost the race is not', async () => {
  const { run, submit } = createOperators()
  const [first, loser] = [await submit('one', 1, null, 3), await submit('loser', 1, null, 6)]
  await run(`bundle rollout ${first}`)
  await run(`bundle rollout ${await submit('two', 2, first, 4)}`)
  assert.match((await run(`bundle rollout ${first}`)).output[0]!, / version=1 .* head=2$/)
  assert.match((await run(`bundle rollout ${loser}`)).errors[0]!, /^507 BundleHeadMoved: version 2/)
})

test('a bundle is not stored if it is unapproved or approved by its author', async () => {
  const { run, files, objects } = createOperators()
  files.set('body', Buffer.from(JSON.stringify(readExample('trust'))))
  await run('bundle sign body --output signed')
  assert.match((await run('bundle submit signed')).errors[0]!, /^504 BundleNotApproved/)
  assert.match((await run('bundle approve signed --output own')).errors[0]!, /^504 BundleNotApproved/)
  assert.ok(objects.size === 0 && !files.has('own'))
})

test('status shows the version on each host, and the hosts that differ or are unreachable', async () => {
  const { run, submit, hosts, statuses } = createOperators()
  const digest = await submit('one', 1, null, 3)
  await run(`bundle rollout ${digest}`)
  ;['a', 'b', 'c'].forEach((name, index) => hosts.push({ name, role: HostRole.Entry, address: `127.0.0.1:${index + 1}`, dataCentre: 'midland-east', state: HostState.Live }))
  hosts.push({ name: 'server', role: HostRole.Server, address: '127.0.0.1:9', dataCentre: 'midland-east', state: HostState.Live })
  const status = { host: 'a', bootId: 'x', bundleVersion: 1, bundleDigest: digest, signers: [author.publicKey, approver.publicKey], leaving: false, inFlight: 0, isolatedMilliseconds: 0 }
  statuses.set('127.0.0.1:1', status).set('127.0.0.1:2', { ...status, host: 'b', bundleVersion: 0, bundleDigest: '' })
  const { output, exitCode } = await run('status')
  assert.deepEqual([exitCode, ...output.map(line => /state=(\w+)|same=.*/.exec(line)?.[0])], [0, 'state=same', 'state=differs', 'state=unreachable', `same=1 differs=1 unreachable=1 head=1 digest=${digest}`])
  assert.match(output[0]!, new RegExp(`version=1 digest=${digest} signers=`))
  assert.match((await run('dump --host 127.0.0.1:1')).output[0]!, /"host": "a"/)
  assert.match((await run('dump --host 127.0.0.1:3')).errors[0]!, /^605 HostUnreachable/)
})

test('usage errors exit with 2, a missing or invalid setting with 1', async () => {
  const { run } = createFakeDependencies()
  const exitCodes = await Promise.all(['bundle fly', 'bundle sign body', 'dump --host here', 'bundle history --limit 0', 'status --host 127.0.0.1:1', 'bundle status --table-address nowhere', '--help'].map(async line => (await run(line)).exitCode))
  assert.deepEqual(exitCodes, [2, 2, 2, 2, 1, 1, 0])
})

const sizes: Array<[string, number, number, number[]]> = [['trust', 3, 3, [25, 6]], ['cascadia', 4, 4, [30, 8]]]
sizes.forEach(([name, dataCentreCount, slotCount, endpoints]) => test(`the example bundle of ${name} is valid and has the expected size`, () => {
  const checked = validateBundle(readExample(name))
  assert.ok(checked.ok, JSON.stringify(checked))
  const { dataCentres, services } = checked.value
  assert.deepEqual([dataCentres.length, services.map(({ servers }) => servers.length)], [dataCentreCount, endpoints])
  const servers = services.flatMap(service => service.servers)
  assert.ok(servers.every(({ address, connections, slots }) => address.startsWith('127.') && connections === 300 && slots === slotCount))
  assert.equal(new Set(servers.map(({ address }) => address)).size, servers.length)
}))
