package table

import (
	"net/http"
	"time"
)

type keySchema struct {
	AttributeName string
	KeyType       string
}

type attributeDefinition struct {
	AttributeName string
	AttributeType string
}

type createTableInput struct {
	TableName            string
	KeySchema            []keySchema
	AttributeDefinitions []attributeDefinition
	BillingMode          string
}

type description struct {
	TableName            string
	TableStatus          string
	TableArn             string
	CreationDateTime     float64
	ItemCount            int
	KeySchema            []keySchema
	AttributeDefinitions []attributeDefinition
}

type createTableOutput struct{ TableDescription description }

type describeTableInput struct{ TableName string }

type describeTableOutput struct{ Table description }

func (s *Server) createTable(_ *http.Request, in *createTableInput) (*createTableOutput, error) {
	if err := checkSchema(in); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tables[in.TableName] != nil {
		return nil, newError("ResourceInUseException", "Table already exists: %s", in.TableName)
	}
	t := newStore()
	s.tables[in.TableName] = t
	return &createTableOutput{describe(in.TableName, t)}, nil
}

// checkSchema accepts the string keys pk (HASH) and sk (RANGE) only.
func checkSchema(in *createTableInput) error {
	if in.TableName == "" {
		return validation("TableName must be set")
	}
	types := make(map[string]string)
	for _, k := range in.KeySchema {
		types[k.AttributeName] = k.KeyType
	}
	if len(in.KeySchema) != 2 || types["pk"] != "HASH" || types["sk"] != "RANGE" {
		return validation("this stand-in supports the key schema pk HASH, sk RANGE only")
	}
	for _, a := range in.AttributeDefinitions {
		if a.AttributeType != "S" {
			return validation("this stand-in supports string keys only")
		}
	}
	return nil
}

func (s *Server) describeTable(_ *http.Request, in *describeTableInput) (*describeTableOutput, error) {
	t, err := s.store(in.TableName)
	if err != nil {
		return nil, newError("ResourceNotFoundException", "Requested resource not found: Table: %s not found", in.TableName)
	}
	return &describeTableOutput{describe(in.TableName, t)}, nil
}

func describe(name string, t *store) description {
	return description{
		TableName:        name,
		TableStatus:      "ACTIVE",
		TableArn:         "arn:aws:dynamodb:local:000000000000:table/" + name,
		CreationDateTime: float64(t.created.UnixMilli()) / float64(time.Second/time.Millisecond),
		KeySchema:        []keySchema{{"pk", "HASH"}, {"sk", "RANGE"}},
		AttributeDefinitions: []attributeDefinition{
			{"pk", "S"}, {"sk", "S"},
		},
	}
}
