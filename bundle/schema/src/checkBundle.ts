// Checks a document against the schema of bundles and against the rules that hold between its parts.
// Nothing of a bundle that fails is used.
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { fail, succeed, type CodedError, type Result } from '@siskinbeam/result-codes/codedError'
import { bundleShape, type Bundle, type ServiceRule } from './bundle.js'

type Rule = (bundle: Bundle) => CodedError[]

const invalid = (key: string, message: string, expected: string): CodedError =>
  ({ code: ResultCode.BundleInvalid, key, message, expected })

const findRepeated = (values: string[]): string[] => {
  const seen = new Set<string>()
  return values.filter(value => seen.size === seen.add(value).size)
}

const checkNamesUnique: Rule = bundle => [
  ...findRepeated(bundle.dataCentres.map(({ name }) => name)).map(name => invalid('dataCentres', `data centre ${name} is listed twice`, 'unique names')),
  ...findRepeated(bundle.services.map(({ name }) => name)).map(name => invalid('services', `service ${name} is listed twice`, 'unique names')),
  ...findRepeated(bundle.services.map(({ pathPrefix }) => pathPrefix)).map(prefix => invalid('services', `path prefix ${prefix} is used twice`, 'unique path prefixes')),
  ...findRepeated(bundle.guestClasses).map(name => invalid('guestClasses', `class ${name} is listed twice`, 'unique names')),
  ...bundle.services.flatMap(service =>
    findRepeated(service.servers.flatMap(({ name, address }) => [name, address]))
      .map(repeated => invalid(`services.${service.name}.servers`, `server name or address ${repeated} is listed twice`, 'unique names and addresses')))
]

const checkDataCentresKnown: Rule = bundle => {
  const known = new Set(bundle.dataCentres.map(({ name }) => name))
  return bundle.services.flatMap(service => service.servers
    .filter(server => !known.has(server.dataCentre))
    .map(server => invalid(`services.${service.name}.servers.${server.name}.dataCentre`, `data centre ${server.dataCentre} is not in the bundle`, [...known].join(', '))))
}

const checkAddressNumbers: Rule = bundle => bundle.services.flatMap(service => service.servers
  .filter(({ address }) => {
    const [host = '', port = ''] = address.split(':')
    return host.split('.').some(part => Number(part) > 255) || Number(port) < 1 || Number(port) > 65_535
  })
  .map(server => invalid(`services.${service.name}.servers.${server.name}.address`, `${server.address} is out of range`, 'parts up to 255, port 1 to 65535')))

const checkClassesKnown: Rule = bundle => bundle.services.flatMap(service => service.routes
  .filter(route => !bundle.guestClasses.includes(route.guestClass))
  .map(route => invalid(`services.${service.name}.routes`, `class ${route.guestClass} is not in guestClasses`, bundle.guestClasses.join(', '))))

const checkRoutesInService: Rule = bundle => bundle.services.flatMap(service => service.routes
  .filter(route => !pathStartsWith(route.pathPrefix, service.pathPrefix))
  .map(route => invalid(`services.${service.name}.routes`, `route ${route.pathPrefix} is outside the service`, `a path under ${service.pathPrefix}`)))

const reservedPrefix = '/.siskinbeam'
const checkReservedPaths: Rule = bundle => bundle.services
  .filter(({ pathPrefix }) => pathStartsWith(pathPrefix, reservedPrefix))
  .map(service => invalid(`services.${service.name}.pathPrefix`, `${reservedPrefix} is reserved`, 'another path'))

// A guest that sends a request again after its record expired would have it run twice.
const checkRecordsOutliveResends: Rule = bundle => bundle.services
  .filter((service: ServiceRule) => service.recordLifetimeSeconds < 2 * service.resendSeconds)
  .map(service => invalid(`services.${service.name}.recordLifetimeSeconds`, 'records expire before the last resend', `at least ${2 * service.resendSeconds}, twice resendSeconds`))

const rules: Rule[] = [
  checkNamesUnique, checkDataCentresKnown, checkAddressNumbers, checkClassesKnown,
  checkRoutesInService, checkReservedPaths, checkRecordsOutliveResends
]

/** Whether `path` is `prefix` or lies below it; /a does not contain /ab. */
export function pathStartsWith (path: string, prefix: string): boolean {
  if (prefix === '/') return true
  return path === prefix || path.startsWith(prefix.endsWith('/') ? prefix : prefix + '/')
}

/** Lists everything that is wrong with a document, or gives the checked bundle. */
export function listBundleErrors (document: unknown): { bundle?: Bundle, errors: CodedError[] } {
  const parsed = bundleShape.safeParse(document)
  if (!parsed.success) {
    return {
      errors: parsed.error.issues.map(issue =>
        invalid(issue.path.map(String).join('.') || '(document)', issue.message, 'expected' in issue ? String(issue.expected) : issue.message))
    }
  }
  const errors = rules.flatMap(rule => rule(parsed.data))
  return errors.length === 0 ? { bundle: parsed.data, errors } : { errors }
}

/** Checks a document and gives the bundle, or the first error. */
export function checkBundle (document: unknown): Result<Bundle> {
  const { bundle, errors } = listBundleErrors(document)
  const first = errors[0]
  if (bundle === undefined) return fail(first?.code ?? ResultCode.BundleInvalid, first?.message ?? 'invalid', first)
  return succeed(bundle)
}
