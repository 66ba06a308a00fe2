// Tests the statistics, the claim simulation and the generated inputs of the microbenchmarks.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createClaimSimulation } from '../src/measureClaims.js'
import { recordBytes } from '../src/measureCost.js'
import { makeBundleBody, signBody, unwrapResult } from '../src/makeBundles.js'
import { computeDifferenceBytes } from '../src/measureBundles.js'
import { computeMessageBytes } from '../src/measureMembership.js'
import { MeasurementName } from '../src/benchmarkRecord.js'
import { computeSpread, fitLine, fitMeasurements } from '../src/statistics.js'
import { verifySignedBundle } from '@siskinbeam/signatures/verifySignedBundle'

// Guards against wrong slopes or standard errors in docs/CAPACITY.md. The expected values of the second fit were computed by hand.
test('a line is fitted with its standard errors', () => {
  const exact = fitLine([1, 2, 5].map(x => ({ x, y: 3 + 2 * x })))
  assert.ok(Math.abs(exact.slope - 2) < 1e-12 && Math.abs(exact.intercept - 3) < 1e-12 && (exact.slopeError ?? 1) < 1e-12)
  const { slope, intercept, slopeError, residualDeviation } = fitLine([{ x: 0, y: 0 }, { x: 1, y: 2 }, { x: 2, y: 1 }])
  assert.ok(Math.abs(slope - 0.5) < 1e-12 && Math.abs(intercept - 0.5) < 1e-12)
  assert.ok(Math.abs((residualDeviation ?? 0) - Math.sqrt(1.5)) < 1e-12)
  assert.ok(Math.abs((slopeError ?? 0) - Math.sqrt(0.75)) < 1e-12)
  assert.equal(fitLine([{ x: 0, y: 0 }, { x: 1, y: 1 }]).slopeError, null)
})

// Guards against a median that is off by one element, and against a fit to a single size.
test('the spread holds median, range and deviation, and one size gives no fit', () => {
  assert.deepEqual(computeSpread([3, 1, 2]), { median: 2, lowest: 1, highest: 3, deviation: 1 })
  assert.equal(computeSpread([4, 1, 2, 3]).median, 2.5)
  const label = { name: MeasurementName.BundleSize, sizeUnit: 'endpoints' }
  assert.deepEqual(fitMeasurements([recordBytes({ ...label, size: 1 }, 5)]), [])
  assert.equal(fitMeasurements([1, 2, 3].map(size => recordBytes({ ...label, size }, 5 * size)))[0]?.slope, 5)
})

// Guards against measuring claims that are stuck, refused or committed one by one.
test('a batch of claims is settled in few transactions', () => {
  const { simulateBatch } = createClaimSimulation()
  assert.equal(simulateBatch(1), 2)
  // One transaction for the first claim, one for the other claims, and one for all settlements.
  assert.equal(simulateBatch(50), 3)
})

// Guards against measured bundles that hosts would refuse, and against sizes that depend on anything but their content.
test('measured bundles verify, and sizes grow only with their content', () => {
  const { document, trustedKeys } = signBody(makeBundleBody({ endpoints: 20 }))
  assert.equal(unwrapResult(verifySignedBundle({ document, trustedKeys })).bundle.services.length, 3)
  assert.equal(computeDifferenceBytes(10), computeDifferenceBytes(100))
  assert.ok(computeMessageBytes(2, 0) > computeMessageBytes(0, 0) && computeMessageBytes(0, 4) > computeMessageBytes(0, 0))
})
