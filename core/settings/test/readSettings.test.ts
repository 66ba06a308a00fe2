// Guards against an invalid setting that is used or ignored, and against a secret that is printed.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { readSettings, SettingSource } from '../src/readSettings.js'
import { addressListSetting, addressSetting, integerSetting, secretSetting } from '../src/settingChecks.js'

const definitions = {
  guestAddress: { flag: 'guest-address', description: 'where guests connect', check: addressSetting, required: true },
  peerKey: { flag: 'peer-key', description: 'key of peers', check: secretSetting, secret: true, required: true },
  peers: { flag: 'peers', description: 'addresses of peers', check: addressListSetting, default: '' },
  seconds: { flag: 'seconds', description: 'a time', check: integerSetting(1, 60), default: '10' }
}
const read = (flags: string[], environment: Record<string, string> = { SISKINBEAM_PEER_KEY: '0123456789abcdef' }) =>
  readSettings({ program: 'test', description: 'test', definitions, arguments: flags, environment })

test('flags take precedence over variables, and variables over defaults', () => {
  const settings = read(['--guest-address', '127.0.0.1:80', '--seconds', '5', '--peers', '127.0.0.1:1,127.0.0.1:2'])
  assert.ok(settings.ok)
  assert.deepEqual(settings.value.values, { guestAddress: '127.0.0.1:80', peerKey: '0123456789abcdef', peers: ['127.0.0.1:1', '127.0.0.1:2'], seconds: 5 })
  assert.equal(settings.value.sources.peerKey, SettingSource.Environment)
  assert.doesNotMatch(settings.value.print(), /0123456789abcdef/)
  assert.match(settings.value.print(), /^seconds=5 source=flag$/m)
})

const invalidSettings: Array<[string, string[], ResultCode, string]> = [
  ['a missing setting', [], ResultCode.SettingMissing, 'guest-address'],
  ['an address out of range', ['--guest-address', '127.0.0.1:99999'], ResultCode.SettingInvalid, 'guest-address'],
  ['a number out of range', ['--guest-address', '127.0.0.1:1', '--seconds', '61'], ResultCode.SettingInvalid, 'seconds'],
  ['an unknown flag', ['--guest-adress', '127.0.0.1:1'], ResultCode.SettingInvalid, 'flags']
]
invalidSettings.forEach(([title, flags, code, key]) => test(`${title} is rejected with its key`, () => {
  const settings = read(flags)
  assert.ok(!settings.ok)
  assert.equal(settings.error.code, code)
  assert.equal(settings.error.key, key)
}))

test('--help prints the flags and is not an invalid setting', () => {
  const settings = read(['--help'])
  assert.ok(settings.ok)
  assert.equal(settings.value.printRequested, true)
  assert.match(settings.value.print(), /--guest-address/)
})
