// Guards against a binary that works only with fakes: runs the life cycle of bundles, from creating keys to
// the active version, with the real platform clients, peers and entry hosts as separate processes.
import assert from 'node:assert/strict'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, before, test } from 'node:test'
import { createTableClient } from '@siskinbeam/clients/createTableClient'
import { headKey } from '@siskinbeam/rollout/bundleStores'
import { postControl, repeatUntil, runSiskinbeamctl, startEntryHost, startPlatform, stopProcesses, type CommandRun } from './support/startSystem.js'

const directory = mkdtempSync(join(tmpdir(), 'siskinbeamctl-'))
const example = JSON.parse(readFileSync(new URL('../../../../examples/bundles/trust.json', import.meta.url), 'utf8'))
const operatorKey = 'operator-key-of-the-test'
const pathOf = (name: string): string => join(directory, name)
const environment: Record<string, string> = { SISKINBEAM_OPERATOR_KEY: operatorKey }
const keys: Array<{ publicKey: string, privateKey: string }> = []
const controls = { table: '', hostList: '' }
const peers: string[] = []

const run = (commandLine: string, variables: Record<string, string> = {}): Promise<CommandRun> =>
  runSiskinbeamctl(commandLine.split(' '), { ...environment, ...variables })
const runAs = (person: number, commandLine: string): Promise<CommandRun> => run(commandLine, { SISKINBEAM_SIGNING_KEY: keys[person]!.privateKey })
const succeedWith = (result: CommandRun): string => {
  assert.deepEqual({ exitCode: result.exitCode, errors: result.errors }, { exitCode: 0, errors: '' })
  return result.output
}
const digestIn = (output: string): string => /digest=([0-9a-f]{64})/.exec(output)![1]!

/** Writes, signs, approves and submits a bundle; returns its digest. */
async function submit (name: string, version: number, previousDigest: string | null, slots: number): Promise<string> {
  const body = { ...structuredClone(example), version, previousDigest }
  body.services[0].servers[0].slots = slots
  writeFileSync(pathOf(`${name}.json`), JSON.stringify(body))
  const digest = digestIn(succeedWith(await run(`bundle check ${pathOf(name)}.json`)))
  succeedWith(await runAs(0, `bundle sign ${pathOf(name)}.json --output ${pathOf(name)}.signed`))
  succeedWith(await runAs(1, `bundle approve ${pathOf(name)}.signed --output ${pathOf(name)}.approved`))
  assert.equal(digestIn(succeedWith(await run(`bundle submit ${pathOf(name)}.approved`))), digest)
  return digest
}

const waitForVersion = async (version: number, digest: string): Promise<string> => succeedWith(await repeatUntil(
  () => run('status'), ({ output }) => output.includes(`hosts=2 same=2 differs=0 unreachable=0 head=${version} digest=${digest}`), 60))

before(async () => {
  const platform = await startPlatform()
  Object.assign(environment, platform.environment)
  Object.assign(controls, { table: platform.tableControl, hostList: platform.hostListControl })
  const created = await Promise.all([1, 2, 3].map(() => run('key create')))
  created.forEach(({ output }) => {
    const [, publicKey = '', privateKey = ''] = /publicKey=(\S+)\nprivateKey=(\S+)/.exec(output)!
    keys.push({ publicKey, privateKey })
  })
  environment.SISKINBEAM_TRUSTED_KEYS = `${keys[0]!.publicKey},${keys[1]!.publicKey}`
  const hosts = await Promise.all([1, 2].map(number => startEntryHost(number, { ...environment, SISKINBEAM_PEER_KEY: 'peer-key-of-the-test' })))
  peers.push(...hosts.map(({ peers: address }) => address!))
  await postControl(controls.hostList, '/hosts', peers.map((address, index) => ({ name: `entry-${index + 1}`, role: 'entry', address, dataCentre: 'midland-east', state: 'live' })))
})

after(async () => {
  await stopProcesses()
  rmSync(directory, { recursive: true, force: true })
})

test('bundles pass through their whole life cycle with real processes', async step => {
  let [first, second] = ['', '']

  await step.test('status shows hosts without a bundle', async () => {
    const { output } = await repeatUntil(() => run('status'), result => result.output.includes('hosts=2'))
    assert.match(output, /hosts=2 same=2 differs=0 unreachable=0 head=none digest=none/)
    assert.match((await run('bundle status')).errors, /^508 BundleNotFound/)
  })

  await step.test('the first rollout becomes active on both hosts, and status shows its signers', async () => {
    first = await submit('first', 1, null, 3)
    assert.match((await run(`bundle rollout ${first}`)).output, new RegExp(`^rolled out name=trust version=1 digest=${first} head=1`))
    const output = await waitForVersion(1, first)
    ;['entry-1', 'entry-2'].forEach((name, index) => assert.ok(
      output.includes(`host=${name} address=${peers[index]} state=same version=1 digest=${first} signers=${environment.SISKINBEAM_TRUSTED_KEYS} `), output))
  })

  await step.test('the second rollout becomes active; history and diff show both', async () => {
    second = await submit('second', 2, first, 5)
    succeedWith(await run(`bundle rollout ${pathOf('second.approved')}`))
    await waitForVersion(2, second)
    assert.match(succeedWith(await run('bundle status')), new RegExp(`head version=2 digest=${second}\nverified name=trust author=`))
    assert.deepEqual(succeedWith(await run('bundle history')).trim().split('\n').map(digestIn), [second, first])
    assert.equal(succeedWith(await run('bundle diff 1 2')).split('\n').find(line => line.includes('slots')), '~ services.permit-desk.servers.permit-desk-01.slots 3 -> 5')
  })

  await step.test('a dump shows the bundle, the members and no key', async () => {
    // A host lists the others as members after it has received a heartbeat from them.
    const text = succeedWith(await repeatUntil(() => run(`dump --host ${peers[0]}`), ({ output }) => output.includes('"host": "entry-2"'), 60))
    const dump = JSON.parse(text)
    assert.deepEqual([dump.host, dump.bundle.inForce.version, dump.members.map(({ host }: { host: string }) => host)], ['entry-1', 2, ['entry-2']])
    assert.ok(!text.includes(operatorKey) && !text.includes('peer-key-of-the-test'))
    assert.match((await run(`dump --host ${peers[0]}`, { SISKINBEAM_OPERATOR_KEY: 'a-wrong-operator-key' })).errors, /^604 NotAuthorized/)
  })

  await step.test('of two concurrent rollouts one succeeds, and the other fails and reports the version that succeeded', async () => {
    const digests = [await submit('one', 3, second, 6), await submit('two', 3, second, 7)]
    const results = await Promise.all(digests.map(digest => run(`bundle rollout ${digest}`)))
    const winner = results.findIndex(({ exitCode }) => exitCode === 0)
    assert.deepEqual(results.map(({ exitCode }) => exitCode).sort(), [0, 1], JSON.stringify(results))
    assert.match(results[1 - winner]!.errors, new RegExp(`^507 BundleHeadMoved: version 3 \\(digest ${digests[winner]}\\).*expected="version 4 with previousDigest ${digests[winner]}"`))
    second = digests[winner]!
    await waitForVersion(3, second)
  })

  await step.test('a stale version is rejected, and hosts ignore one that is written to the table', async () => {
    const stale = await submit('stale', 2, first, 8)
    assert.match((await run(`bundle rollout ${stale}`)).errors, new RegExp(`^507 BundleHeadMoved: version 3 \\(digest ${second}\\)`))
    const table = createTableClient({ address: environment.SISKINBEAM_TABLE_ADDRESS! })
    const put = (version: number, digest: string) => table.transact([{ kind: 'put', key: headKey, value: { version, digest }, expectedVersion: 'any', expiresAtMilliseconds: null }])
    assert.ok((await put(2, stale)).ok)
    // Both hosts read the head several times during ten status calls.
    const seen = await Array.from({ length: 10 }).reduce<Promise<string[]>>(async earlier => [...await earlier, (await run('status')).output], Promise.resolve([]))
    assert.ok(seen.every(output => output.includes('same=0 differs=2 unreachable=0 head=2') && output.match(/state=differs version=3/g)?.length === 2), seen.join('\n'))
    assert.ok((await put(3, second)).ok)
    table.close()
    await waitForVersion(3, second)
  })

  await step.test('bundles with an invalid signature, a changed body or an unknown signer are not stored', async () => {
    await submit('fourth', 4, second, 9)
    const document = JSON.parse(readFileSync(pathOf('fourth.approved'), 'utf8'))
    const [author, approver] = document.signatures
    const changes: Array<[string, unknown, RegExp]> = [
      ['swapped', { ...document, signatures: [{ ...author, signature: approver.signature }, approver] }, /^503 BundleSignatureInvalid/],
      ['changed', { ...document, body: { ...document.body, name: 'other' } }, /^505 BundleDigestMismatch/]
    ]
    await Promise.all(changes.map(async ([name, changed, error]) => {
      writeFileSync(pathOf(name), JSON.stringify(changed))
      const { exitCode, errors } = await run(`bundle submit ${pathOf(name)}`)
      assert.equal(exitCode, 1)
      assert.match(errors, error)
    }))
    assert.match((await runAs(2, `bundle approve ${pathOf('fourth.signed')} --output ${pathOf('unknown')}`)).errors, /^506 BundleKeyUnknown/)
  })

  await step.test('during an outage of the table service status shows the hosts, and a rollout reports an unknown outcome', async () => {
    await postControl(controls.table, '/control', { outage: true })
    const { exitCode, output, errors } = await run('status')
    assert.equal(exitCode, 0)
    assert.match(errors, /^701 TableUnavailable.*; hosts are compared with the newest among them/)
    assert.match(output, new RegExp(`hosts=2 same=2 differs=0 unreachable=0 head=3 digest=${second}`))
    assert.match((await run(`bundle rollout ${pathOf('fourth.approved')}`)).errors, /^701 TableUnavailable.*the rollout may have taken effect/)
    await postControl(controls.table, '/control', { outage: false })
    succeedWith(await run(`bundle rollout ${pathOf('fourth.approved')}`))
    await waitForVersion(4, digestIn(succeedWith(await run('bundle status'))))
  })
})
