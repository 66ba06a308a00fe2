import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createClaimRunner } from '../src/measureClaims.js'
import { recordBytes } from '../src/measureCost.js'
import { makeBundleBody, signBody, takeValue } from '../src/makeBundles.js'
import { weighDifference } from '../src/measureBundles.js'
import { weighMessage } from '../src/measureMembership.js'
import { MicroName } from '../src/microRecord.js'
import { describeSpread, fitLine, fitMeasurements } from '../src/statistics.js'
import { verifySignedBundle } from '@siskinbeam/signatures/verifySignedBundle'

// Guards against wrong slopes or errors in docs/CAPACITY.md. The figures of the second fit were computed by hand.
test('a line is fitted with its standard errors', () => {
  const exact = fitLine([1, 2, 5].map(x => ({ x, y: 3 + 2 * x })))
  assert.ok(Math.abs(exact.slope - 2) < 1e-12 && Math.abs(exact.intercept - 3) < 1e-12 && (exact.slopeError ?? 1) < 1e-12)
  const { slope, intercept, slopeError, residualDeviation } = fitLine([{ x: 0, y: 0 }, { x: 1, y: 2 }, { x: 2, y: 1 }])
  assert.ok(Math.abs(slope - 0.5) < 1e-12 && Math.abs(intercept - 0.5) < 1e-12)
  assert.ok(Math.abs((residualDeviation ?? 0) - Math.sqrt(1.5)) < 1e-12)
  assert.ok(Math.abs((slopeError ?? 0) - Math.sqrt(0.75)) < 1e-12)
  assert.equal(fitLine([{ x: 0, y: 0 }, { x: 1, y: 1 }]).slopeError, null)
})

// Guards against a median that is off by one element, and against fits over a single size.
test('the spread holds median, range and deviation, and one size gives no fit', () => {
  assert.deepEqual(describeSpread([3, 1, 2]), { median: 2, lowest: 1, highest: 3, deviation: 1 })
  assert.equal(describeSpread([4, 1, 2, 3]).median, 2.5)
  const place = { name: MicroName.BundleSize, sizeUnit: 'endpoints' }
  assert.deepEqual(fitMeasurements([recordBytes({ ...place, size: 1 }, 5)]), [])
  assert.equal(fitMeasurements([1, 2, 3].map(size => recordBytes({ ...place, size }, 5 * size)))[0]?.slope, 5)
})

// Guards against figures of claims that are stuck, refused or committed one by one.
test('a batch of claims is settled in few transactions', () => {
  const { runBatch } = createClaimRunner()
  assert.equal(runBatch(1), 2)
  // The first claim goes at once, the others together, then all settlements.
  assert.equal(runBatch(50), 3)
})

// Guards against measured bundles that hosts would refuse, and against sizes that depend on something else.
test('measured bundles verify, and sizes grow only with what they carry', () => {
  const { document, trustedKeys } = signBody(makeBundleBody({ endpoints: 20 }))
  assert.equal(takeValue(verifySignedBundle({ document, trustedKeys })).bundle.services.length, 3)
  assert.equal(weighDifference(10), weighDifference(100))
  assert.ok(weighMessage(2, 0) > weighMessage(0, 0) && weighMessage(0, 4) > weighMessage(0, 0))
})
