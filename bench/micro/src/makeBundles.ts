// Creates the bundles that are measured, in the requested sizes.
import { bundleShape, type Bundle, type BundleInput } from '@siskinbeam/schema/bundle'
import { createSignedBundle, SignerRole, type SignedBundle } from '@siskinbeam/signatures/signedBundle'
import { signBundle } from '@siskinbeam/signatures/signBundle'
import { createSigningKeyPair, parseTrustedKeys, type TrustedKeys } from '@siskinbeam/signatures/signingKeys'
import { formatCodedError, type Result } from '@siskinbeam/result-codes/codedError'

/** 14,000 endpoints in 2,000 services, from section 1 of docs/design.md. */
export const endpointsPerService = 7
const dataCentreCount = 11
const regionCount = 5

export interface MakeBundleOptions {
  endpoints: number
  /** Puts all endpoints into one service instead of 7 into each. */
  oneService?: boolean
}

const dataCentres = Array.from({ length: dataCentreCount }, (_, position) => `dc-${position + 1}`)

/** Creates the body of a bundle as an operator writes it, without defaults. */
export function makeBundleBody ({ endpoints, oneService = false }: MakeBundleOptions): BundleInput {
  const perService = oneService ? endpoints : endpointsPerService
  const services = Math.ceil(endpoints / perService)
  return {
    formatVersion: 1,
    name: 'measured',
    version: 2,
    previousDigest: '0'.repeat(64),
    dataCentres: dataCentres.map((name, position) => ({ name, region: `region-${position % regionCount + 1}` })),
    guestClasses: ['officer', 'haulier'],
    services: Array.from({ length: services }, (_, service) => ({
      name: `service-${service + 1}`,
      pathPrefix: `/service-${service + 1}`,
      servers: Array.from({ length: Math.min(perService, endpoints - service * perService) }, (_, position) => makeServer(service, position)),
      routes: [
        { methods: ['GET' as const], pathPrefix: `/service-${service + 1}/lookups`, idempotent: true, guestClass: 'haulier' },
        { methods: ['POST' as const], pathPrefix: `/service-${service + 1}/bookings`, idempotent: false, guestClass: 'officer' }
      ]
    }))
  }
}

function makeServer (service: number, position: number): BundleInput['services'][number]['servers'][number] {
  const number = service * endpointsPerService + position
  return {
    name: `service-${service + 1}-${position + 1}`,
    address: `10.${(number >> 16) & 255}.${(number >> 8) & 255}.${number & 255}:9000`,
    dataCentre: dataCentres[number % dataCentreCount] as string,
    slots: 3
  }
}

/** Creates a bundle with defaults filled in. Skips the checks across parts of the bundle, which are measured separately. */
export function makeBundle (options: MakeBundleOptions): Bundle {
  return bundleShape.parse(makeBundleBody(options))
}

/** Signs a body as author and as approver, with new keys. */
export function signBody (body: BundleInput): { document: SignedBundle, trustedKeys: TrustedKeys } {
  const [author, approver] = [createSigningKeyPair(), createSigningKeyPair()]
  const created = unwrapResult(createSignedBundle(body))
  const signed = unwrapResult(signBundle({ document: created, role: SignerRole.Author, privateKey: author.privateKey }))
  const document = unwrapResult(signBundle({ document: signed, role: SignerRole.Approver, privateKey: approver.privateKey }))
  return { document, trustedKeys: unwrapResult(parseTrustedKeys([author.publicKey, approver.publicKey])) }
}

/** Returns the value of a result. Throws an Error for a failed one, which the inputs of the benchmarks never produce. */
export function unwrapResult<Value> (result: Result<Value>): Value {
  if (result.ok) return result.value
  throw new Error(formatCodedError(result.error))
}
