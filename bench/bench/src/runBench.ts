#!/usr/bin/env node
// Command line of the benchmark: `npm run bench -- --workload trust --policy ours --seed 1 ...`.
import { writeFileSync } from 'node:fs'
import { z } from 'zod'
import { LoadBalancingPolicy } from '@siskinbeam/schema/bundle'
import { formatCodedError } from '@siskinbeam/result-codes/codedError'
import { readSettings } from '@siskinbeam/settings/readSettings'
import { choiceSetting, integerSetting, numberSetting, optionalTextSetting } from '@siskinbeam/settings/settingChecks'
import { FaultName } from './faults/faultName.js'
import { formatRecords } from './formatRecords.js'
import type { RunRecord } from './record.js'
import { runExperiment } from './runExperiment.js'
import { WorkloadName, workloads } from './workload.js'

const allPoliciesChoice = 'all'
const policySetting = z.string().refine(text => text === allPoliciesChoice || (Object.values(LoadBalancingPolicy) as string[]).includes(text), `${allPoliciesChoice} or one of ${Object.values(LoadBalancingPolicy).join(', ')}`)

const settings = readSettings({
  program: 'bench',
  description: 'Benchmarks the complete request path of siskinbeam over loopback, in separate processes',
  definitions: {
    workload: { flag: 'workload', description: 'trust or cascadia', check: choiceSetting(WorkloadName), default: WorkloadName.Trust },
    policy: { flag: 'policy', description: 'load balancing policy, or all', check: policySetting, default: LoadBalancingPolicy.Ours },
    seed: { flag: 'seed', description: 'random seed of arrivals, service times and faults', check: integerSetting(1, 1_000_000), default: '1' },
    seeds: { flag: 'seeds', description: 'number of runs with consecutive seeds', check: integerSetting(1, 1_000), default: '1' },
    seconds: { flag: 'seconds', description: 'duration of the measured load in seconds', check: numberSetting(1, 3_600), default: '10' },
    load: { flag: 'load', description: 'load as a share of capacity', check: numberSetting(0.01, 5), default: '0.7' },
    fault: { flag: 'fault', description: 'fault to inject', check: choiceSetting(FaultName), default: FaultName.None },
    entryHosts: { flag: 'entry-hosts', description: 'number of entry hosts, 0 for the default of the workload', check: integerSetting(0, 100), default: '0' },
    probesPerRequest: { flag: 'probes-per-request', description: 'probes per request, empty for the default of the workload', check: optionalTextSetting },
    hedging: { flag: 'hedging', description: 'on, or off to measure the latency that an entry host adds', check: z.enum(['on', 'off']), default: 'on' },
    networkDelays: { flag: 'network-delays', description: 'on, or off to measure the latency that an entry host adds', check: z.enum(['on', 'off']), default: 'on' },
    json: { flag: 'json', description: 'JSON file to write the records to', check: optionalTextSetting }
  },
  arguments: process.argv.slice(2),
  environment: {}
})
if (!settings.ok) {
  process.stderr.write(formatCodedError(settings.error) + '\n')
  process.exit(2)
}
if (settings.value.printRequested) {
  process.stdout.write(settings.value.print() + '\n')
  process.exit(0)
}
const { values } = settings.value
const selectedWorkload = workloads[values.workload]
const workload = values.networkDelays === 'on' ? selectedWorkload : { ...selectedWorkload, roundTripMilliseconds: 0 }
const policies = values.policy === allPoliciesChoice ? Object.values(LoadBalancingPolicy) : [values.policy as LoadBalancingPolicy]
const seeds = Array.from({ length: values.seeds }, (_, position) => values.seed + position)
const runs = seeds.flatMap(seed => policies.map(policy => ({ seed, policy })))

const records = await runs.reduce<Promise<RunRecord[]>>(async (previous, { seed, policy }) => {
  const earlierRecords = await previous
  const hosts = values.entryHosts === 0 ? workload.entryHosts : values.entryHosts
  const record = await runExperiment({
    workload,
    policy,
    seed,
    seconds: values.seconds,
    load: values.load,
    fault: values.fault,
    // The omniscient policy is a bound for comparison: a single entry host sees all traffic.
    entryHosts: policy === LoadBalancingPolicy.Omniscient ? 1 : hosts,
    hedging: values.hedging === 'on',
    ...(values.probesPerRequest === undefined ? {} : { probesPerRequest: Number(values.probesPerRequest) })
  })
  process.stderr.write(`policy=${policy} seed=${seed} p99Ms=${record.p99Ms} answered=${record.answered}/${record.requests}\n`)
  return [...earlierRecords, record]
}, Promise.resolve([]))

process.stdout.write(formatRecords(records))
if (values.json !== undefined) writeFileSync(values.json, JSON.stringify(values.policy === allPoliciesChoice || records.length > 1 ? records : records[0], null, 2) + '\n')
const hasSafetyViolation = records.some(({ ranTwice, lostWithoutAccount, wrongAnswer, probeBudgetExceeded }) => ranTwice + lostWithoutAccount + wrongAnswer + probeBudgetExceeded > 0)
process.exitCode = hasSafetyViolation ? 1 : 0
