// Cost of checking, verifying and putting in force bundles, and their size.
import { verify } from 'node:crypto'
import { diffBundles } from '@siskinbeam/rollout/diffBundles'
import { validateBundle } from '@siskinbeam/schema/validateBundle'
import { serializeSignedBundle, encodeSignedMessage, parseSignedBundle, type BundleSignature } from '@siskinbeam/signatures/signedBundle'
import { verifySignedBundle } from '@siskinbeam/signatures/verifySignedBundle'
import { makeBundle, makeBundleBody, signBody, takeValue } from './makeBundles.js'
import { measureCost, recordBytes, type MeasuringEffort } from './measureCost.js'
import { makeRuntimes, serverCounts } from './measureRouting.js'
import { MicroName, type Measurement } from './microRecord.js'

const sizeUnit = 'endpoints'

/** Measures bundles at all sizes. */
export function measureBundles (effort: MeasuringEffort): Measurement[] {
  return serverCounts.flatMap(size => measureBundle(effort, size))
}

function measureBundle (effort: MeasuringEffort, size: number): Measurement[] {
  const body = makeBundleBody({ endpoints: size })
  const { document, trustedKeys } = signBody(body)
  const bytes = serializeSignedBundle(document)
  const bundle = makeBundle({ endpoints: size })
  const oneService = makeBundleBody({ endpoints: size, oneService: true })
  const { role, signature, publicKey } = document.signatures[0] as BundleSignature
  const key = trustedKeys.get(publicKey)
  if (key === undefined) throw new Error('the key of the author is not trusted')
  const runtimes = makeRuntimes(bundle)
  const measure = (name: MicroName, operate: () => unknown): Measurement => measureCost({ place: { name, size, sizeUnit }, effort, operate })
  return [
    measure(MicroName.BundleParse, () => takeValue(parseSignedBundle(bytes))),
    measure(MicroName.BundleCheck, () => takeValue(validateBundle(body))),
    measure(MicroName.BundleCheckOneService, () => takeValue(validateBundle(oneService))),
    measure(MicroName.BundleVerification, () => takeValue(verifySignedBundle({ document, trustedKeys }))),
    measure(MicroName.SignatureVerification, () => {
      if (!verify(null, encodeSignedMessage(role, bundle, document.digest), key, Buffer.from(signature, 'base64'))) throw new Error('the signature is wrong')
    }),
    // Servers that stay in place keep their state, as with a change of one server.
    measure(MicroName.BundleInForce, () => makeRuntimes(bundle, runtimes)),
    recordBytes({ name: MicroName.BundleSize, size, sizeUnit }, bytes.length),
    recordBytes({ name: MicroName.OneServerDifference, size, sizeUnit }, weighDifference(size))
  ]
}

/** Bytes of the JSON of the difference when one server gets another address. */
export function weighDifference (endpoints: number): number {
  const before = makeBundleBody({ endpoints })
  const after = structuredClone(before)
  const server = after.services[0]?.servers[0]
  if (server === undefined) return 0
  server.address = '10.255.255.255:9000'
  after.version = before.version + 1
  return Buffer.byteLength(JSON.stringify(diffBundles(before, after)))
}
