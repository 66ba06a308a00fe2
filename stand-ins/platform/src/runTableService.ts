#!/usr/bin/env node
// The table service as a process.
import { choiceSetting, integerSetting, numberSetting } from '@siskinbeam/settings/settingChecks'
import { commonSettings, runStandIn } from './runStandIn.js'
import { serveTableService, WriteCost } from './serveTableService.js'

await runStandIn({
  program: 'table-service',
  description: 'Stand-in of the table service.',
  definitions: {
    ...commonSettings,
    writesPerSecond: { flag: 'writes-per-second', description: 'write rate', check: numberSetting(0.1, 1_000_000), default: '300' },
    readsPerSecond: { flag: 'reads-per-second', description: 'read rate, counted by key', check: numberSetting(0.1, 1_000_000), default: '2000' },
    writeCost: { flag: 'write-cost', description: 'what counts as a write: transaction or row', check: choiceSetting(WriteCost), default: WriteCost.Transaction },
    maximumRows: { flag: 'maximum-rows', description: 'rows that the table holds', check: integerSetting(1, 10_000_000), default: '500000' },
    maximumLoggedRows: { flag: 'maximum-logged-rows', description: 'rows of transactions that the log holds', check: integerSetting(1, 10_000_000), default: '200000' }
  },
  serve: serveTableService
})
