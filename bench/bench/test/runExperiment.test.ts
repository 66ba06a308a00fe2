// Guards against duplicate executions, requests lost without an error response, wrong responses and probes over
// budget in a system of real processes, while processes crash, are suspended and drain and the table service is
// unavailable. Only safety is asserted, since latency on a shared machine proves nothing.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LoadBalancingPolicy } from '@siskinbeam/schema/bundle'
import { FaultName } from '../src/faults/faultName.js'
import { runExperiment } from '../src/runExperiment.js'
import { WorkloadName, workloads, type Workload } from '../src/workload.js'

// The Trust workload with a quarter of its servers, so that the test runs on a small machine.
const trust = workloads[WorkloadName.Trust]
const workload: Workload = { ...trust, services: trust.services.map(service => ({ ...service, servers: Math.ceil(service.servers / 4) })) }
const cases: Array<[FaultName, number]> = [[FaultName.All, 11], [FaultName.All, 12], [FaultName.StoreOutage, 13]]

cases.forEach(([fault, seed]) => test(`fault ${fault} with seed ${seed} violates no guarantee`, async () => {
  const record = await runExperiment({ workload, policy: LoadBalancingPolicy.Ours, seed, seconds: 6, load: 0.4, fault, entryHosts: 4 })
  console.log(`fault=${fault} seed=${seed} requests=${record.requests} answered=${record.answered} unknown=${record.unknownOutcome}`)
  assert.ok(record.requests > 0)
  const { ranTwice, lostWithoutAccount, wrongAnswer, probeBudgetExceeded, invariantViolations, findings } = record
  assert.deepEqual({ ranTwice, lostWithoutAccount, wrongAnswer, probeBudgetExceeded, invariantViolations },
    { ranTwice: 0, lostWithoutAccount: 0, wrongAnswer: 0, probeBudgetExceeded: 0, invariantViolations: 0 })
  assert.deepEqual(Object.entries(findings).filter(([, count]) => count > 0), [])
}))
