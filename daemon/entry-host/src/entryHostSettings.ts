// Settings of an entry host, such as its addresses and its data centre. The routing of requests is configured in the
// bundle instead.
import { LogLevel } from '@siskinbeam/logging/createLogger'
import type { SettingDefinitions } from '@siskinbeam/settings/readSettings'
import { addressListSetting, addressSetting, choiceSetting, integerSetting, nameSetting, optionalTextSetting, secretSetting } from '@siskinbeam/settings/settingChecks'
import { z } from 'zod'

const keyListSetting = z.string()
  .transform(text => text.split(',').map(part => part.trim()).filter(part => part !== ''))
  .pipe(z.array(z.string()).min(2, 'at least two public keys separated by commas: an author and an approver'))

export const entryHostSettings = {
  host: { flag: 'host', description: 'name of this host', check: nameSetting, required: true },
  dataCentre: { flag: 'data-centre', description: 'data centre of this host', check: nameSetting, required: true },
  guestAddress: { flag: 'guest-address', description: 'IP number and port where guests connect', check: addressSetting, required: true },
  peerAddress: { flag: 'peer-address', description: 'IP number and port for peers and operators', check: addressSetting, required: true },
  outgoingAddress: { flag: 'outgoing-address', description: 'IP number from which servers are called', check: optionalTextSetting },
  peerKey: { flag: 'peer-key', description: 'key that entry hosts show each other', check: secretSetting, secret: true, required: true },
  operatorKey: { flag: 'operator-key', description: 'key that operators show', check: secretSetting, secret: true, required: true },
  trustedKeys: { flag: 'trusted-keys', description: 'public keys of authors and approvers, separated by commas', check: keyListSetting, required: true },
  tableAddress: { flag: 'table-address', description: 'address of the table service', check: addressSetting, required: true },
  objectStoreAddress: { flag: 'object-store-address', description: 'address of the object store', check: addressSetting, required: true },
  hostListAddress: { flag: 'host-list-address', description: 'address of the host list', check: addressSetting, required: true },
  metricsAddress: { flag: 'metrics-address', description: 'IP number and port where operators read metrics and dumps over HTTP, empty for none', check: z.union([z.literal(''), addressSetting]), default: '' },
  seedPeers: { flag: 'seed-peers', description: 'peer addresses known at the start, separated by commas', check: addressListSetting, default: '' },
  logLevel: { flag: 'log-level', description: 'least level that is logged', check: choiceSetting(LogLevel), default: LogLevel.Info },
  seed: { flag: 'seed', description: 'seed of random numbers, 0 for a new one at each start', check: integerSetting(0, 2_147_483_647), default: '0' },
  leavingSeconds: { flag: 'leaving-seconds', description: 'seconds for which a leaving host still serves guests that hold its address', check: integerSetting(0, 3_600), default: '10' },
  drainSeconds: { flag: 'drain-seconds', description: 'longest time for exchanges to end after that', check: integerSetting(1, 3_600), default: '30' }
} satisfies SettingDefinitions
