// Validates a document against the bundle schema and the constraints between its parts. A bundle that fails
// validation is rejected as a whole.
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { fail, succeed, type CodedError, type Result } from '@siskinbeam/result-codes/codedError'
import { bundleShape, type Bundle, type ServiceConfiguration } from './bundle.js'

type Constraint = (bundle: Bundle) => CodedError[]

const createError = (key: string, message: string, expected: string): CodedError =>
  ({ code: ResultCode.BundleInvalid, key, message, expected })

const findDuplicates = (values: string[]): string[] => {
  const seen = new Set<string>()
  return values.filter(value => seen.size === seen.add(value).size)
}

const checkNamesUnique: Constraint = bundle => [
  ...findDuplicates(bundle.dataCentres.map(({ name }) => name)).map(name => createError('dataCentres', `data centre ${name} is listed twice`, 'unique names')),
  ...findDuplicates(bundle.services.map(({ name }) => name)).map(name => createError('services', `service ${name} is listed twice`, 'unique names')),
  ...findDuplicates(bundle.services.map(({ pathPrefix }) => pathPrefix)).map(prefix => createError('services', `path prefix ${prefix} is used twice`, 'unique path prefixes')),
  ...findDuplicates(bundle.guestClasses).map(name => createError('guestClasses', `class ${name} is listed twice`, 'unique names')),
  ...bundle.services.flatMap(service =>
    findDuplicates(service.servers.flatMap(({ name, address }) => [name, address]))
      .map(repeated => createError(`services.${service.name}.servers`, `server name or address ${repeated} is listed twice`, 'unique names and addresses')))
]

const checkDataCentresKnown: Constraint = bundle => {
  const known = new Set(bundle.dataCentres.map(({ name }) => name))
  return bundle.services.flatMap(service => service.servers
    .filter(server => !known.has(server.dataCentre))
    .map(server => createError(`services.${service.name}.servers.${server.name}.dataCentre`, `data centre ${server.dataCentre} is not in the bundle`, [...known].join(', '))))
}

const checkAddressRanges: Constraint = bundle => bundle.services.flatMap(service => service.servers
  .filter(({ address }) => {
    const [host = '', port = ''] = address.split(':')
    return host.split('.').some(part => Number(part) > 255) || Number(port) < 1 || Number(port) > 65_535
  })
  .map(server => createError(`services.${service.name}.servers.${server.name}.address`, `${server.address} is out of range`, 'parts up to 255, port 1 to 65535')))

const checkClassesKnown: Constraint = bundle => bundle.services.flatMap(service => service.routes
  .filter(route => !bundle.guestClasses.includes(route.guestClass))
  .map(route => createError(`services.${service.name}.routes`, `class ${route.guestClass} is not in guestClasses`, bundle.guestClasses.join(', '))))

const checkRoutesInService: Constraint = bundle => bundle.services.flatMap(service => service.routes
  .filter(route => !isPathUnder(route.pathPrefix, service.pathPrefix))
  .map(route => createError(`services.${service.name}.routes`, `route ${route.pathPrefix} is outside the service`, `a path under ${service.pathPrefix}`)))

const reservedPrefix = '/.siskinbeam'
const checkReservedPaths: Constraint = bundle => bundle.services
  .filter(({ pathPrefix }) => isPathUnder(pathPrefix, reservedPrefix))
  .map(service => createError(`services.${service.name}.pathPrefix`, `${reservedPrefix} is reserved`, 'another path'))

// A request that a guest repeats after its record expired would run twice.
const checkRecordsOutliveResends: Constraint = bundle => bundle.services
  .filter((service: ServiceConfiguration) => service.recordLifetimeSeconds < 2 * service.resendSeconds)
  .map(service => createError(`services.${service.name}.recordLifetimeSeconds`, 'records expire before the last resend', `at least ${2 * service.resendSeconds}, twice resendSeconds`))

const constraints: Constraint[] = [
  checkNamesUnique, checkDataCentresKnown, checkAddressRanges, checkClassesKnown,
  checkRoutesInService, checkReservedPaths, checkRecordsOutliveResends
]

/** Whether `path` equals `prefix` or is below it. Matches whole path segments: /ab is not below /a. */
export function isPathUnder (path: string, prefix: string): boolean {
  if (prefix === '/') return true
  return path === prefix || path.startsWith(prefix.endsWith('/') ? prefix : prefix + '/')
}

/** Returns the validated bundle, or all errors of the document. */
export function listBundleErrors (document: unknown): { bundle?: Bundle, errors: CodedError[] } {
  const parsed = bundleShape.safeParse(document)
  if (!parsed.success) {
    return {
      errors: parsed.error.issues.map(issue =>
        createError(issue.path.map(String).join('.') || '(document)', issue.message, 'expected' in issue ? String(issue.expected) : issue.message))
    }
  }
  const errors = constraints.flatMap(constraint => constraint(parsed.data))
  return errors.length === 0 ? { bundle: parsed.data, errors } : { errors }
}

/** Validates a document. Returns the bundle, or fails with the first error (BundleInvalid). */
export function validateBundle (document: unknown): Result<Bundle> {
  const { bundle, errors } = listBundleErrors(document)
  const first = errors[0]
  if (bundle === undefined) return fail(first?.code ?? ResultCode.BundleInvalid, first?.message ?? 'invalid', first)
  return succeed(bundle)
}
