#!/usr/bin/env node
// The command line of the bench: `npm run bench -- --workload trust --policy ours --seed 1 ...`.
import { writeFileSync } from 'node:fs'
import { z } from 'zod'
import { LoadBalancingPolicy } from '@siskinbeam/schema/bundle'
import { formatCodedError } from '@siskinbeam/result-codes/codedError'
import { readSettings } from '@siskinbeam/settings/readSettings'
import { choiceSetting, integerSetting, numberSetting, optionalTextSetting } from '@siskinbeam/settings/settingChecks'
import { FaultName } from './faults/faultName.js'
import { printRecords } from './printRecords.js'
import type { RunRecord } from './record.js'
import { runExperiment } from './runExperiment.js'
import { WorkloadName, workloads } from './workload.js'

const allPolicies = 'all'
const policySetting = z.string().refine(text => text === allPolicies || (Object.values(LoadBalancingPolicy) as string[]).includes(text), `${allPolicies} or one of ${Object.values(LoadBalancingPolicy).join(', ')}`)

const settings = readSettings({
  program: 'bench',
  description: 'Measures siskinbeam over loopback, the whole path, in processes of its own',
  definitions: {
    workload: { flag: 'workload', description: 'trust or cascadia', check: choiceSetting(WorkloadName), default: WorkloadName.Trust },
    policy: { flag: 'policy', description: 'policy of server choice, or all', check: policySetting, default: LoadBalancingPolicy.Ours },
    seed: { flag: 'seed', description: 'seed of arrivals, service times and faults', check: integerSetting(1, 1_000_000), default: '1' },
    seeds: { flag: 'seeds', description: 'number of runs with seeds that follow on', check: integerSetting(1, 1_000), default: '1' },
    seconds: { flag: 'seconds', description: 'length of the measured load in seconds', check: numberSetting(1, 3_600), default: '10' },
    load: { flag: 'load', description: 'load as a share of capacity', check: numberSetting(0.01, 5), default: '0.7' },
    fault: { flag: 'fault', description: 'fault to inject', check: choiceSetting(FaultName), default: FaultName.None },
    entryHosts: { flag: 'entry-hosts', description: 'entry hosts, 0 for those of the workload', check: integerSetting(0, 100), default: '0' },
    probesPerRequest: { flag: 'probes-per-request', description: 'probes for each request, empty for those of the workload', check: optionalTextSetting },
    hedging: { flag: 'hedging', description: 'on, or off to measure the time that an entry host adds', check: z.enum(['on', 'off']), default: 'on' },
    networkDelays: { flag: 'network-delays', description: 'on, or off to measure the time that an entry host adds', check: z.enum(['on', 'off']), default: 'on' },
    json: { flag: 'json', description: 'file for the records', check: optionalTextSetting }
  },
  arguments: process.argv.slice(2),
  environment: {}
})
if (!settings.ok) {
  process.stderr.write(formatCodedError(settings.error) + '\n')
  process.exit(2)
}
const { values } = settings.value
const chosen = workloads[values.workload]
const workload = values.networkDelays === 'on' ? chosen : { ...chosen, roundTripMilliseconds: 0 }
const policies = values.policy === allPolicies ? Object.values(LoadBalancingPolicy) : [values.policy as LoadBalancingPolicy]
const seeds = Array.from({ length: values.seeds }, (_, position) => values.seed + position)
const runs = seeds.flatMap(seed => policies.map(policy => ({ seed, policy })))

const records = await runs.reduce<Promise<RunRecord[]>>(async (done, { seed, policy }) => {
  const records = await done
  const hosts = values.entryHosts === 0 ? workload.entryHosts : values.entryHosts
  const record = await runExperiment({
    workload,
    policy,
    seed,
    seconds: values.seconds,
    load: values.load,
    fault: values.fault,
    // The bound that knows everything: a single entry host sees all traffic.
    entryHosts: policy === LoadBalancingPolicy.Omniscient ? 1 : hosts,
    hedging: values.hedging === 'on',
    ...(values.probesPerRequest === undefined ? {} : { probesPerRequest: Number(values.probesPerRequest) })
  })
  process.stderr.write(`policy=${policy} seed=${seed} p99Ms=${record.p99Ms} answered=${record.answered}/${record.requests}\n`)
  return [...records, record]
}, Promise.resolve([]))

process.stdout.write(printRecords(records))
if (values.json !== undefined) writeFileSync(values.json, JSON.stringify(values.policy === allPolicies || records.length > 1 ? records : records[0], null, 2) + '\n')
const isHarmed = records.some(({ ranTwice, lostWithoutAccount, wrongAnswer, probeBudgetExceeded }) => ranTwice + lostWithoutAccount + wrongAnswer + probeBudgetExceeded > 0)
process.exitCode = isHarmed ? 1 : 0
