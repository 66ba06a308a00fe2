// Settings of the stand-in of a server.
import type { SettingDefinitions } from '@siskinbeam/settings/readSettings'
import { addressSetting, integerSetting, nameSetting, numberSetting, optionalTextSetting } from '@siskinbeam/settings/settingChecks'

export const serverSettings = {
  name: { flag: 'name', description: 'name of the server', check: nameSetting, required: true },
  service: { flag: 'service', description: 'name of the service', check: nameSetting, required: true },
  address: { flag: 'address', description: 'address of the service', check: addressSetting, required: true },
  controlAddress: { flag: 'control-address', description: 'address where faults are switched', check: addressSetting, required: true },
  slots: { flag: 'slots', description: 'requests that run at the same time', check: integerSetting(1, 1_000), default: '3' },
  queueLength: { flag: 'queue-length', description: 'requests that wait for a slot; further ones are shed', check: integerSetting(0, 100_000), default: '6' },
  maximumConnections: { flag: 'maximum-connections', description: 'open connections', check: integerSetting(1, 100_000), default: '300' },
  serviceMilliseconds: { flag: 'service-milliseconds', description: 'mean service time in milliseconds', check: numberSetting(0, 60_000), default: '20' },
  serviceSigma: { flag: 'service-sigma', description: 'deviation of the logarithm of the service time', check: numberSetting(0, 5), default: '0.8' },
  noiseFactor: { flag: 'noise-factor', description: 'greatest factor by which neighbours slow the server for a while, 1 for none', check: numberSetting(1, 100), default: '1' },
  coldStartSeconds: { flag: 'cold-start-seconds', description: 'seconds after the start during which the server is three times slower', check: numberSetting(0, 600), default: '0' },
  answerBytes: { flag: 'answer-bytes', description: 'least size of an answer in bytes', check: integerSetting(0, 10_000_000), default: '200' },
  seed: { flag: 'seed', description: 'seed of random numbers', check: integerSetting(0, 2_147_483_647), default: '1' },
  runLog: { flag: 'run-log', description: 'file to which each run is appended, so that the record outlives a crash', check: optionalTextSetting },
  networkDelays: { flag: 'network-delays', description: 'round trips in milliseconds by the third part of the peer address, for example 1:0,2:1', check: optionalTextSetting }
} satisfies SettingDefinitions
