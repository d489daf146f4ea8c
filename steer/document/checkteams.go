package document

import "fmt"

// teams checks teams and their keys.
func (c *checker) teams() error {
	if len(c.doc.Teams) == 0 {
		return c.failf("$.teams", "teams are missing")
	}
	teams, ids, digests := firstUses{}, firstUses{}, map[string]string{}
	for i, team := range c.doc.Teams {
		path := fmt.Sprintf("$.teams[%d]", i)
		if err := c.unique(teams, "team", path+".name", team.Name); err != nil {
			return err
		}
		if team.Rate <= 0 {
			return c.failf(path+".rate", "the rate of team %q must be over 0/s", team.Name)
		}
		if team.Burst < 1 {
			return c.failf(path+".burst", "the burst of team %q must be at least 1", team.Name)
		}
		if err := c.keys(path, team, ids, digests); err != nil {
			return err
		}
	}
	return nil
}

// keys checks the keys of one team. IDs and digests are unique in the
// document.
func (c *checker) keys(teamPath string, team Team, ids firstUses, digests map[string]string) error {
	for i, key := range team.Keys {
		path := fmt.Sprintf("%s.keys[%d]", teamPath, i)
		if err := c.unique(ids, "key", path+".id", key.ID); err != nil {
			return err
		}
		if _, ok := parseDigest(key.Digest); !ok {
			return c.failf(path+".digest", "the digest of key %q must be sha256: and 64 hexadecimal digits", key.ID)
		}
		if other, used := digests[key.Digest]; used {
			return c.failf(path+".digest", "keys %q and %q have the same digest", other, key.ID)
		}
		digests[key.Digest] = key.ID
	}
	return nil
}

// regions checks regions and collects their failure domains.
func (c *checker) regions() error {
	if len(c.doc.Regions) == 0 {
		return c.failf("$.regions", "regions are missing")
	}
	c.region = map[string]string{}
	regions, domains := firstUses{}, firstUses{}
	for i, region := range c.doc.Regions {
		path := fmt.Sprintf("$.regions[%d]", i)
		if err := c.unique(regions, "region", path+".name", region.Name); err != nil {
			return err
		}
		if len(region.FailureDomains) == 0 {
			return c.failf(path+".failureDomains", "region %q has no failure domain", region.Name)
		}
		for j, domain := range region.FailureDomains {
			at := fmt.Sprintf("%s.failureDomains[%d]", path, j)
			if err := c.unique(domains, "failure domain", at, domain); err != nil {
				return err
			}
			c.region[domain] = region.Name
		}
	}
	return nil
}

// entries checks the settings of the entry responses.
func (c *checker) entries() error {
	if c.doc.Entries.Homes < 1 {
		return c.failf("$.entries.homes", "homes must be at least 1")
	}
	return nil
}
