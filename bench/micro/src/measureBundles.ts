// Measures the cost of parsing, validating, verifying and activating bundles, and their size.
import { verify } from 'node:crypto'
import { diffBundles } from '@siskinbeam/rollout/diffBundles'
import { validateBundle } from '@siskinbeam/schema/validateBundle'
import { serializeSignedBundle, encodeSignedMessage, parseSignedBundle, type BundleSignature } from '@siskinbeam/signatures/signedBundle'
import { verifySignedBundle } from '@siskinbeam/signatures/verifySignedBundle'
import { makeBundle, makeBundleBody, signBody, unwrapResult } from './makeBundles.js'
import { measureCost, recordBytes, type SamplingOptions } from './measureCost.js'
import { makeRuntimes, serverCounts } from './measureRouting.js'
import { MeasurementName, type Measurement } from './benchmarkRecord.js'

const sizeUnit = 'endpoints'

/** Measures bundles of each size. */
export function measureBundles (sampling: SamplingOptions): Measurement[] {
  return serverCounts.flatMap(size => measureBundle(sampling, size))
}

function measureBundle (sampling: SamplingOptions, size: number): Measurement[] {
  const body = makeBundleBody({ endpoints: size })
  const { document, trustedKeys } = signBody(body)
  const bytes = serializeSignedBundle(document)
  const bundle = makeBundle({ endpoints: size })
  const oneService = makeBundleBody({ endpoints: size, oneService: true })
  const { role, signature, publicKey } = document.signatures[0] as BundleSignature
  const key = trustedKeys.get(publicKey)
  if (key === undefined) throw new Error('the key of the author is not among the trusted keys')
  const runtimes = makeRuntimes(bundle)
  const measure = (name: MeasurementName, operation: () => unknown): Measurement => measureCost({ label: { name, size, sizeUnit }, sampling, operation })
  return [
    measure(MeasurementName.BundleParse, () => unwrapResult(parseSignedBundle(bytes))),
    measure(MeasurementName.BundleCheck, () => unwrapResult(validateBundle(body))),
    measure(MeasurementName.BundleCheckOneService, () => unwrapResult(validateBundle(oneService))),
    measure(MeasurementName.BundleVerification, () => unwrapResult(verifySignedBundle({ document, trustedKeys }))),
    measure(MeasurementName.SignatureVerification, () => {
      if (!verify(null, encodeSignedMessage(role, bundle, document.digest), key, Buffer.from(signature, 'base64'))) throw new Error('the signature of the author does not verify')
    }),
    // Unchanged servers keep their state, as when one server of a bundle changes.
    measure(MeasurementName.BundleActivation, () => makeRuntimes(bundle, runtimes)),
    recordBytes({ name: MeasurementName.BundleSize, size, sizeUnit }, bytes.length),
    recordBytes({ name: MeasurementName.OneServerDifference, size, sizeUnit }, computeDifferenceBytes(size))
  ]
}

/** Returns the JSON size in bytes of the difference between two bundles that differ in one server address. */
export function computeDifferenceBytes (endpoints: number): number {
  const before = makeBundleBody({ endpoints })
  const after = structuredClone(before)
  const server = after.services[0]?.servers[0]
  if (server === undefined) return 0
  server.address = '10.255.255.255:9000'
  after.version = before.version + 1
  return Buffer.byteLength(JSON.stringify(diffBundles(before, after)))
}
