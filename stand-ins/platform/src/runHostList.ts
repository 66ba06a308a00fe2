#!/usr/bin/env node
// Runs the stand-in for the host list as a process.
import { integerSetting } from '@siskinbeam/settings/settingChecks'
import { commonSettings, runStandIn } from './runStandIn.js'
import { serveHostList } from './serveHostList.js'

await runStandIn({
  program: 'host-list',
  description: 'Stand-in for the host list.',
  definitions: {
    ...commonSettings,
    lagMilliseconds: { flag: 'lag-milliseconds', description: 'milliseconds until a change is visible', check: integerSetting(0, 3_600_000), default: '2000' }
  },
  serve: serveHostList
})
