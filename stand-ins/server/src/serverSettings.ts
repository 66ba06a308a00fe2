// Settings of the server stand-in.
import type { SettingDefinitions } from '@siskinbeam/settings/readSettings'
import { addressSetting, integerSetting, nameSetting, numberSetting, optionalTextSetting } from '@siskinbeam/settings/settingChecks'

export const serverSettings = {
  name: { flag: 'name', description: 'name of the server', check: nameSetting, required: true },
  service: { flag: 'service', description: 'name of the service', check: nameSetting, required: true },
  address: { flag: 'address', description: 'address of the service', check: addressSetting, required: true },
  controlAddress: { flag: 'control-address', description: 'address for configuring faults', check: addressSetting, required: true },
  slots: { flag: 'slots', description: 'maximum number of concurrent requests', check: integerSetting(1, 1_000), default: '3' },
  queueLength: { flag: 'queue-length', description: 'maximum number of queued requests; further ones are shed', check: integerSetting(0, 100_000), default: '6' },
  maximumConnections: { flag: 'maximum-connections', description: 'maximum number of open connections', check: integerSetting(1, 100_000), default: '300' },
  serviceMilliseconds: { flag: 'service-milliseconds', description: 'mean service time in milliseconds', check: numberSetting(0, 60_000), default: '20' },
  serviceSigma: { flag: 'service-sigma', description: 'standard deviation of the logarithm of the service time', check: numberSetting(0, 5), default: '0.8' },
  noiseFactor: { flag: 'noise-factor', description: 'maximum factor by which noisy neighbours slow the server down temporarily, 1 for none', check: numberSetting(1, 100), default: '1' },
  coldStartSeconds: { flag: 'cold-start-seconds', description: 'seconds after the start during which service times are tripled', check: numberSetting(0, 600), default: '0' },
  answerBytes: { flag: 'answer-bytes', description: 'minimum size of a response in bytes', check: integerSetting(0, 10_000_000), default: '200' },
  seed: { flag: 'seed', description: 'random seed', check: integerSetting(0, 2_147_483_647), default: '1' },
  runLog: { flag: 'run-log', description: 'file to which each run is appended, so that the records survive a crash', check: optionalTextSetting },
  networkDelays: { flag: 'network-delays', description: 'round-trip times in milliseconds by the third octet of the client address, for example 1:0,2:1', check: optionalTextSetting }
} satisfies SettingDefinitions
