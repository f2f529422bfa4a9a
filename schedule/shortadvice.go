package schedule

// keepShort returns the first of the workers that a call for a step should name, so many that it does not
// become a long call: it would wait for one of the proxies that may have long calls, behind those for gangs.
// The workers must be in the order of preference. The calls for gangs and those with a long fixed duration
// are long in any case.
func (c *Core) keepShort(s *stepState, workerIDs []string) []string {
	policy := s.job.terms.Advice
	if !c.cfg.LearnSpeeds || s.spec.Gang || policy.PerWorker <= 0 || policy.Base >= longCallThreshold {
		return workerIDs
	}
	most := int((longCallThreshold - policy.Base - 1) / policy.PerWorker)
	return workerIDs[:min(len(workerIDs), max(1, most))]
}
