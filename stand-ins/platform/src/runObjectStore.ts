#!/usr/bin/env node
// The object store as a process.
import { integerSetting } from '@siskinbeam/settings/settingChecks'
import { commonSettings, runStandIn } from './runStandIn.js'
import { serveObjectStore } from './serveObjectStore.js'

await runStandIn({
  program: 'object-store',
  description: 'Stand-in of the object store.',
  definitions: {
    ...commonSettings,
    maximumTotalBytes: { flag: 'maximum-total-bytes', description: 'sum of all objects', check: integerSetting(1, 4_294_967_296), default: '268435456' }
  },
  serve: serveObjectStore
})
