#!/usr/bin/env node
// Runs the stand-in for the table service as a process.
import { choiceSetting, integerSetting, numberSetting } from '@siskinbeam/settings/settingChecks'
import { commonSettings, runStandIn } from './runStandIn.js'
import { serveTableService, WriteCost } from './serveTableService.js'

await runStandIn({
  program: 'table-service',
  description: 'Stand-in for the table service.',
  definitions: {
    ...commonSettings,
    writesPerSecond: { flag: 'writes-per-second', description: 'maximum rate of writes', check: numberSetting(0.1, 1_000_000), default: '300' },
    readsPerSecond: { flag: 'reads-per-second', description: 'maximum rate of reads, counted by key', check: numberSetting(0.1, 1_000_000), default: '2000' },
    writeCost: { flag: 'write-cost', description: 'unit of the write rate: transaction or row', check: choiceSetting(WriteCost), default: WriteCost.Transaction },
    maximumRows: { flag: 'maximum-rows', description: 'maximum number of rows in the table', check: integerSetting(1, 10_000_000), default: '500000' },
    maximumLoggedRows: { flag: 'maximum-logged-rows', description: 'maximum number of rows in the transaction log', check: integerSetting(1, 10_000_000), default: '200000' }
  },
  serve: serveTableService
})
