#!/usr/bin/env node
// Runs the stand-in for the object store as a process.
import { integerSetting } from '@siskinbeam/settings/settingChecks'
import { commonSettings, runStandIn } from './runStandIn.js'
import { serveObjectStore } from './serveObjectStore.js'

await runStandIn({
  program: 'object-store',
  description: 'Stand-in for the object store.',
  definitions: {
    ...commonSettings,
    maximumTotalBytes: { flag: 'maximum-total-bytes', description: 'maximum total size of all objects in bytes', check: integerSetting(1, 4_294_967_296), default: '268435456' }
  },
  serve: serveObjectStore
})
